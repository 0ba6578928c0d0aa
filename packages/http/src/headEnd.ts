const LF = 10;
const CR = 13;

/**
 * Returns the number of bytes up to and with the first empty line, which ends a head or a body in chunks; `undefined` if there
 * is none. Reads no further than that.
 *
 * @param tail the last two bytes that were read before these; the empty line may begin in them
 */
export function headEnd(bytes: Buffer, tail: Buffer): number | undefined {
    const at = (index: number): number | undefined => index < 0 ? tail[tail.length + index] : bytes[index];
    const isEmptyLine = (index: number): boolean =>
        at(index - 1) === LF || (at(index - 1) === CR && at(index - 2) === LF);
    for (let index = bytes.indexOf(LF); index >= 0; index = bytes.indexOf(LF, index + 1)) {
        if (isEmptyLine(index)) {
            return index + 1;
        }
    }
    return undefined;
}
