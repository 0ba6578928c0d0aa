const LINE_END = "\n";
const EMPTY_LINES = ["\n\r\n", "\n\n"];
/** Bytes of an empty line, with the end of the line before it, that may lie in earlier parts. */
const MAX_TAIL_BYTES = 2;

/**
 * Returns the number of bytes up to and with the first empty line, which ends a head or a body in chunks; `undefined` if there
 * is none.
 *
 * @param tail what was read before these bytes; the empty line may begin in it
 */
export function headEnd(bytes: Buffer, tail: Buffer): number | undefined {
    const before = tail.subarray(-MAX_TAIL_BYTES);
    const seam = Buffer.concat([before, bytes.subarray(0, MAX_TAIL_BYTES)]);
    const endsIn = (text: Buffer): readonly number[] =>
        EMPTY_LINES.flatMap(line => {
            const at = text.indexOf(line, 0, "latin1");
            return at < 0 ? [] : [at + line.length];
        });
    const ends = [
        ...(before.includes(LINE_END) ? endsIn(seam).map(end => end - before.length) : []),
        ...endsIn(bytes),
    ].filter(end => end > 0);
    return ends.length === 0 ? undefined : Math.min(...ends);
}
