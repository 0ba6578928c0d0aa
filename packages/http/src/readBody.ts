import type { IncomingMessage } from "node:http";

import type { Refusal } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { createByteQueue } from "./createByteQueue.js";

const ignore = (): void => undefined;

/** Parts of a body as they come. */
type BodyParts = {
    readonly add: (part: Buffer) => void;
    readonly whole: () => Buffer;
};

/**
 * Collects a body. What was read of a connection is kept in its buffer of 64 KB until a full collection if it lives for
 * longer than some reads. To prevent that such buffers take many times what is held, a body of known length is copied
 * into one buffer as it comes, unless it came in one part.
 *
 * @param length as stated; 0 if it is not
 */
const collectParts = (length: number): BodyParts => {
    const queue = createByteQueue();
    const state = { buffer: undefined as Buffer | undefined, bytes: 0 };
    return {
        add: part => {
            if (state.buffer === undefined && part.length < length) {
                state.buffer = Buffer.allocUnsafeSlow(length);
            }
            if (state.buffer === undefined) {
                queue.add(part);
            }
            else {
                part.copy(state.buffer, state.bytes);
            }
            state.bytes += part.length;
        },
        whole: () => {
            const pieces = queue.takeAll();
            const [first] = pieces;
            return state.buffer ?? (pieces.length === 1 && first !== undefined ? first : Buffer.concat(pieces));
        },
    };
};

/**
 * Reads a request's body.
 *
 * @param limit maximum size in bytes
 * @param onBytes called with the size of each part that has been read; the body is refused if it returns a refusal, and
 * not read on until a promise that it returns has been settled
 * @returns Left with `body-too-large`, with the refusal of `onBytes`, or with `caller-gone` if the caller disconnected
 */
export function readBody(
    req: IncomingMessage,
    limit: number,
    onBytes?: (bytes: number) => Refusal | undefined | Promise<Refusal | undefined>,
): Promise<Either<Refusal, Buffer>> {
    const length = Number(req.headers["content-length"] ?? 0);
    if (length > limit) {
        return Promise.resolve(Left(refusalOf("body-too-large", `at most ${limit} bytes`)));
    }
    return new Promise(resolve => {
        const parts = collectParts(length);
        const size = { bytes: 0 };
        const settle = (body: Either<Refusal, Buffer>): void => {
            req.removeListener("data", onData);
            req.removeListener("end", onEnd);
            req.removeListener("close", onGone);
            resolve(body);
        };
        const refuse = (refusal: Refusal): void => {
            req.pause();
            settle(Left(refusal));
        };
        const onData = (chunk: Buffer): void => {
            size.bytes += chunk.length;
            if (size.bytes > limit) {
                refuse(refusalOf("body-too-large", `at most ${limit} bytes`));
                return;
            }
            const verdict = onBytes?.(chunk.length);
            if (verdict instanceof Promise) {
                req.pause();
                parts.add(chunk);
                void verdict.then(refusal => refusal === undefined ? void req.resume() : refuse(refusal));
                return;
            }
            if (verdict !== undefined) {
                refuse(verdict);
                return;
            }
            parts.add(chunk);
        };
        const onEnd = (): void => settle(Right(parts.whole()));
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
