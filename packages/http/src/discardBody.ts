import type { IncomingMessage } from "node:http";

/** Limits on the rest of a body, in bytes and time. A caller that keeps sending beyond them loses its answer. */
const MAX_BYTES = 33_554_432;
const MAX_MS = 2_000;

/**
 * Reads and discards the rest of a request's body.
 *
 * If the server answers and closes while the caller is still sending a body that is refused, the caller's operating
 * system discards the unread answer. Symptom: the caller gets a broken pipe instead of the refusal. To prevent this,
 * the answer is sent only after the body has arrived or has exceeded the limits.
 *
 * @param done called once, when the answer may be sent
 */
export function discardBody(req: IncomingMessage, done: () => void): void {
    const progress = { bytes: 0, isDone: false };
    const finish = (): void => {
        if (!progress.isDone) {
            progress.isDone = true;
            clearTimeout(timer);
            done();
        }
    };
    const timer = setTimeout(finish, MAX_MS);
    req.once("end", finish);
    req.once("close", finish);
    req.once("error", finish);
    req.on("data", (chunk: Buffer) => {
        progress.bytes += chunk.length;
        if (progress.bytes > MAX_BYTES) {
            finish();
        }
    });
    req.resume();
}
