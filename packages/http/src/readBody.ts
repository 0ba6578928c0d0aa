import type { IncomingMessage } from "node:http";

import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

const ignore = (): void => undefined;

/**
 * Reads a request's body.
 *
 * @param limit maximum size in bytes
 * @param onBytes called with the size of each part that has been read; the body is refused if it returns a refusal
 * @returns Left with `body-too-large`, with the refusal of `onBytes`, or with `caller-gone` if the caller disconnected
 */
export function readBody(
    req: IncomingMessage,
    limit: number,
    onBytes?: (bytes: number) => Refusal | undefined,
): Promise<Either<Refusal, Buffer>> {
    if (Number(req.headers["content-length"] ?? 0) > limit) {
        return Promise.resolve(Left(refusalOf("body-too-large", `at most ${limit} bytes`)));
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const size = { bytes: 0 };
        const settle = (body: Either<Refusal, Buffer>): void => {
            req.removeListener("data", onData);
            req.removeListener("end", onEnd);
            req.removeListener("close", onGone);
            resolve(body);
        };
        const onData = (chunk: Buffer): void => {
            size.bytes += chunk.length;
            const refusal = onBytes?.(chunk.length)
                ?? (size.bytes > limit ? refusalOf("body-too-large", `at most ${limit} bytes`) : undefined);
            if (refusal !== undefined) {
                req.pause();
                settle(Left(refusal));
                return;
            }
            chunks.push(chunk);
        };
        const onEnd = (): void =>
            settle(Right(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)));
        const onGone = (): void => settle(Left(refusalOf("caller-gone", undefined, { ran: "no" })));
        if (req.readableEnded || req.destroyed) {
            (req.readableEnded ? onEnd : onGone)();
            return;
        }
        req.on("data", onData);
        req.on("end", onEnd);
        req.on("close", onGone);
        // A close follows each error. The listener stays, since an error without one would end the process.
        req.on("error", ignore);
    });
}
