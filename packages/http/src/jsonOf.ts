/**
 * Parses a body as JSON. The value is not validated; the caller checks it against its schema.
 *
 * @returns undefined if the body is not JSON; every schema of an object rejects that
 */
export function jsonOf(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
