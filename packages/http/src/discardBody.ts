import type { IncomingMessage } from "node:http";

/** Bytes and time that the rest of a body may take; a caller that sends on beyond these loses its answer. */
const MAX_BYTES = 33_554_432;
const MAX_MS = 2_000;

/**
 * Reads the rest of a body and throws it away.
 *
 * Failure: a caller still sends a body that is refused, the daemon answers and closes, and the caller's system throws the
 * unread answer away; it shows as a broken pipe in place of the refusal. Guard: the answer goes out when the body has
 * come, or has cost too much to wait for.
 *
 * @param done called once
 */
export function discardBody(req: IncomingMessage, done: () => void): void {
    const seen = { bytes: 0, isDone: false };
    const finish = (): void => {
        if (!seen.isDone) {
            seen.isDone = true;
            clearTimeout(timer);
            done();
        }
    };
    const timer = setTimeout(finish, MAX_MS);
    req.once("end", finish);
    req.once("close", finish);
    req.once("error", finish);
    req.on("data", (chunk: Buffer) => {
        seen.bytes += chunk.length;
        if (seen.bytes > MAX_BYTES) {
            finish();
        }
    });
    req.resume();
}
