import { endsWhole } from "./endsWhole.js";
import type { OpenedCall } from "./OpenedCall.js";

/** Largest answer that is held in memory before it goes to the caller. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Reads an answer to its end.
 *
 * Failure: an answer without a length ends with its connection, and a connection that is reset looks like that end. The
 * caller would get half of it as a success. Guard: an answer is whole only if it ended without an error on the way.
 *
 * @returns undefined when the answer is not whole
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
        res.on("end", () => resolve(endsWhole(opened) ? Buffer.concat(chunks) : undefined));
    });
}
