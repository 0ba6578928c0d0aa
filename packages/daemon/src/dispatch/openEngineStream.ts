import type { Incarnation } from "@azureshunt/core";
import { isFinalStatus } from "@azureshunt/http";
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

/** Head of an engine's answer, and its body to be read. */
type EngineStream = {
    readonly incarnation: Incarnation | undefined;
    readonly cachedTokens: number | undefined;
    readonly body: AsyncIterable<Uint8Array>;
};

/** Parameters of one try at an engine. */
type EngineTry = {
    readonly dispatcher: Dispatcher;
    readonly call: Call;
    readonly target: ModelCall;
    readonly placement: Placement;
    /** Position of the first token to send. */
    readonly resumeFrom: number;
    /** Maximum time until the headers are received. */
    readonly headTimeoutMs: number;
    /** Maximum time between two pieces. */
    readonly idleMs: number;
    /** Aborts the try; the engine stops when its connection closes. */
    readonly signal: AbortSignal;
};

/**
 * Sends a call to an engine and waits for the head of its answer. Always requests a stream, even if the caller did not,
 * so that the answer can be resumed at another engine.
 *
 * An answer to another dispatch may arrive on this connection. Symptom: another dispatch id, or none. Such an answer
 * counts as `crossed`, and its connection is destroyed together with the body.
 */
export async function openEngineStream(engineTry: EngineTry): Promise<Either<TryEnd, EngineStream>> {
    const { call, target, placement } = engineTry;
    try {
        const res = await request(`${placement.url}${target.path}`, {
            method: "POST",
            dispatcher: engineTry.dispatcher,
            headersTimeout: engineTry.headTimeoutMs,
            bodyTimeout: engineTry.idleMs,
            signal: engineTry.signal,
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
                resume_from: engineTry.resumeFrom,
            }),
        });
        if (firstValue(res.headers["x-dispatch-id"]) !== placement.dispatchId) {
            res.body.on("error", () => undefined).destroy();
            return Left({ kind: "crossed" });
        }
        if (res.statusCode !== STATUS_OK) {
            await res.body.dump();
            return Left(
                isFinalStatus(res.statusCode) && firstValue(res.headers["x-not-run"]) === "1"
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
