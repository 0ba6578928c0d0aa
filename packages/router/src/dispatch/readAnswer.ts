import { isComplete } from "./isComplete.js";
import type { OpenedCall } from "./OpenedCall.js";

/** Size limit of an answer that is buffered in memory before it goes to the caller. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Reads an answer to its end.
 *
 * An answer without a length ends with its connection, and a reset of the connection looks like that end. The caller
 * would get half of the answer as a success. To prevent this, an answer counts as complete only if it ended without an
 * error.
 *
 * @returns undefined if the answer is incomplete or too large
 */
export function readAnswer(opened: Extract<OpenedCall, { kind: "head"; }>): Promise<Buffer | undefined> {
    const { res } = opened;
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const size = { bytes: 0 };
        res.on("data", (chunk: Buffer) => {
            size.bytes += chunk.length;
            chunks.push(chunk);
            if (size.bytes > MAX_ANSWER_BYTES) {
                res.destroy();
            }
        });
        res.on("error", () => resolve(undefined));
        res.on("close", () => resolve(undefined));
        res.on("end", () => resolve(isComplete(opened) ? Buffer.concat(chunks) : undefined));
    });
}
