import type { Incarnation } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { request } from "undici";
import type { Dispatcher } from "undici";

import { firstValue } from "../gateway/firstValue.js";
import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { Placement } from "../ports/Placement.js";
import { failureOfError } from "./failureOfError.js";
import type { TryEnd } from "./TryEnd.js";

const STATUS_OK = 200;
const STATUS_TOO_MANY = 429;

/** The answer of an engine that has begun to stream. */
type EngineStream = {
    readonly incarnation: Incarnation | undefined;
    readonly cachedTokens: number | undefined;
    readonly body: AsyncIterable<Uint8Array>;
};

/** What one try at an engine is made with. */
type EngineTry = {
    readonly dispatcher: Dispatcher;
    readonly call: Call;
    readonly target: ModelCall;
    readonly placement: Placement;
    /** Position of the first token that is wanted. */
    readonly resumeFrom: number;
    /** Milliseconds until the headers must have come, and of silence between two pieces. */
    readonly firstMs: number;
    readonly idleMs: number;
    /** Ends the try; the engine sees the connection closed and stops. */
    readonly signal: AbortSignal;
};

/**
 * Sends a call to an engine and waits for the head of its answer. Always asks for a stream, so that an answer can be
 * resumed elsewhere, whether the caller wants a stream or not.
 *
 * Failure: an answer that belongs to another dispatch arrives on this connection. It shows as another or no dispatch id.
 * Guard: such an answer counts as `crossed` and its connection is destroyed with the body.
 */
export async function openEngineStream(one: EngineTry): Promise<Either<TryEnd, EngineStream>> {
    const { call, target, placement } = one;
    try {
        const res = await request(`${placement.url}${target.path}`, {
            method: "POST",
            dispatcher: one.dispatcher,
            headersTimeout: one.firstMs,
            bodyTimeout: one.idleMs,
            signal: one.signal,
            headers: {
                "content-type": "application/json",
                "x-dispatch-id": placement.dispatchId,
                "x-organisation": call.organisation,
                "x-weights-version": target.version,
                ...target.adapter === undefined ? {} : { "x-adapter": target.adapter },
            },
            body: JSON.stringify({
                ...target.body,
                model: target.model,
                max_tokens: target.maxTokens,
                stream: true,
                cache_salt: target.cacheSalt,
                priority: call.priority,
                resume_from: one.resumeFrom,
            }),
        });
        if (firstValue(res.headers["x-dispatch-id"]) !== placement.dispatchId) {
            res.body.on("error", () => undefined).destroy();
            return Left({ kind: "crossed" });
        }
        if (res.statusCode !== STATUS_OK) {
            await res.body.dump();
            return Left(
                firstValue(res.headers["x-not-run"]) === "1"
                    ? { kind: "refused", full: res.statusCode === STATUS_TOO_MANY }
                    : { kind: "failed" },
            );
        }
        const cached = firstValue(res.headers["x-cached-tokens"]);
        return Right({
            incarnation: firstValue(res.headers["x-incarnation"]) as Incarnation | undefined,
            cachedTokens: cached === undefined ? undefined : Number(cached),
            body: res.body,
        });
    }
    catch (err) {
        return Left(failureOfError(err, call.signal));
    }
}
