import type { TryResult } from "./TryResult.js";

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const LENGTH = "content-length";

/**
 * Returns the length of a complete answer as additional headers, if its endpoint gave none.
 *
 * An answer without a length ends with its connection for a caller that speaks HTTP/1.0. If this VM were killed while it
 * sends one, a part of it would pass as whole.
 */
export function lengthHeaders(
    method: string,
    { status, headers, body }: NonNullable<TryResult["answer"]>,
): readonly string[] {
    const hasNoBody = method === "HEAD" || status === NO_CONTENT || status === NOT_MODIFIED;
    const hasLength = headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === LENGTH);
    return hasNoBody || hasLength
        ? []
        : ["Content-Length", String(body.reduce((sum, { length }) => sum + length, 0))];
}
