import type { IncomingMessage } from "node:http";

import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

/**
 * Reads a request's body.
 *
 * @param limit maximum size in bytes
 * @param onBytes called with the size of each part that has been read; the body is refused if it returns a refusal
 * @returns Left with `body-too-large`, with the refusal of `onBytes`, or with `caller-gone` if the caller disconnected
 */
export async function readBody(
    req: IncomingMessage,
    limit: number,
    onBytes?: (bytes: number) => Refusal | undefined,
): Promise<Either<Refusal, Buffer>> {
    const chunks: Buffer[] = [];
    const size = { bytes: 0 };
    if (Number(req.headers["content-length"] ?? 0) > limit) {
        return Left(refusalOf("body-too-large", `at most ${limit} bytes`));
    }
    try {
        for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            size.bytes += chunk.length;
            const refusal = onBytes?.(chunk.length);
            if (refusal !== undefined) {
                return Left(refusal);
            }
            if (size.bytes > limit) {
                return Left(refusalOf("body-too-large", `at most ${limit} bytes`));
            }
            chunks.push(chunk);
        }
    }
    catch {
        return Left(refusalOf("caller-gone", undefined, { ran: "no" }));
    }
    return Right(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
}
