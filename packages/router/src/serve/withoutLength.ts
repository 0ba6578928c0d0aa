/**
 * Returns an answer's headers, alternating names and values, without its length.
 *
 * The length of a stream that may go on at another endpoint is not known: the other one may generate other text for the
 * rest. The caller would take the next answer's bytes for what is missing, or what is beyond the length for that answer.
 */
export function withoutLength(headers: readonly string[]): readonly string[] {
    return headers.filter((_, i) => headers[i - i % 2]?.toLowerCase() !== "content-length");
}
