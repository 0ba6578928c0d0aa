/**
 * Reads a body as JSON. What the value holds is for the caller's schema to say.
 *
 * @returns undefined where the body is no JSON, which every schema of an object rejects
 */
export function jsonOf(body: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(body).toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}
