const LF = 10;
const CR = 13;
/** Bytes of an empty line, with the end of the line before it, that may lie in earlier parts. */
const MAX_TAIL_BYTES = 2;

/**
 * Returns the number of bytes up to and with the first empty line, which ends a head or a body in chunks; `undefined` if there
 * is none. Reads no further than that.
 *
 * @param tail what was read before these bytes; the empty line may begin in it
 */
export function headEnd(bytes: Buffer, tail: Buffer): number | undefined {
    const before = tail.subarray(-MAX_TAIL_BYTES);
    const at = (index: number): number | undefined => index < 0 ? before[before.length + index] : bytes[index];
    const isEmptyLine = (index: number): boolean =>
        at(index - 1) === LF || (at(index - 1) === CR && at(index - 2) === LF);
    for (let index = bytes.indexOf(LF); index >= 0; index = bytes.indexOf(LF, index + 1)) {
        if (isEmptyLine(index)) {
            return index + 1;
        }
    }
    return undefined;
}
