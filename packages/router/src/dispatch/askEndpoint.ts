import type { EndpointStatement } from "@azureshunt/completion";
import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import { isFinalStatus } from "@azureshunt/http";
import { startTimeout } from "@azureshunt/lifecycle";

import type { EncodedCall } from "../ports/EncodedCall.js";
import type { EngineReport } from "../ports/EngineReport.js";
import type { CancelSignal } from "./CancelSignal.js";
import type { EndpointAgent } from "./EndpointAgent.js";
import { openCall } from "./openCall.js";
import { readAnswer } from "./readAnswer.js";

type AskParts = {
    readonly agent: EndpointAgent;
    readonly clock: Clock;
    readonly encodeRunCheck: (endpoint: EndpointName) => EncodedCall;
    /** @returns undefined if the body is not a valid report */
    readonly decodeReport: (body: Buffer) => EngineReport | undefined;
};

const MISDIRECTED = 421;
/** Longer than a sound endpoint is silent. */
const ANSWER_MS: Millis = 2_000;
/** Maximum idle time of a connection that is used. A lost one costs an attempt. */
const MAX_IDLE_MS: Millis = 2_000;
/** A kept connection may be closed as it is used, and an endpoint with many connections may reset a new one. */
const MAX_ATTEMPTS = 3;
/** An attempt that opens no connection for this long was not refused: the way is slow, or lost. */
const NOT_REFUSED_MS: Millis = 150;

/**
 * Asks an endpoint for its report, to learn whether it still runs after its answer has ended. Any answer with a valid
 * status shows that it does, as endpoints without a model have no report.
 */
export async function askEndpoint(
    { agent, clock, encodeRunCheck, decodeReport }: AskParts,
    { name, address }: { readonly name: EndpointName; readonly address: string; },
    signal: CancelSignal,
): Promise<EndpointStatement> {
    const endedAt = clock.now();
    const ask = async (attempt: number): Promise<EndpointStatement> => {
        const askedAt = clock.now();
        const leftMs = endedAt + ANSWER_MS - askedAt;
        const opened = await openCall(
            agent,
            { ...encodeRunCheck(name), address, maxIdleMs: MAX_IDLE_MS, isRepeatable: true, headMs: leftMs },
            signal,
        );
        const isUnclear = opened.kind === "broken"
            || (opened.kind === "unreached" && clock.now() - askedAt >= NOT_REFUSED_MS);
        if (isUnclear && attempt < MAX_ATTEMPTS) {
            return ask(attempt + 1);
        }
        if (opened.kind !== "head") {
            return { kind: "none" };
        }
        const { res } = opened;
        if (!isFinalStatus(res.statusCode)) {
            res.destroy();
            return { kind: "none" };
        }
        const cancelTimeout = startTimeout(Math.max(0, endedAt + ANSWER_MS - clock.now()), () => void res.destroy());
        const body = await readAnswer(opened);
        cancelTimeout();
        if (body === undefined) {
            return { kind: "none" };
        }
        return res.statusCode === MISDIRECTED ? { kind: "elsewhere" } : {
            kind: "answer",
            bornAt: decodeReport(Buffer.concat(body))?.bornAt,
            // A later attempt may use one that was opened since.
            isOnKeptConnection: attempt === 1 && opened.connection === "kept",
            tookMs: clock.now() - endedAt,
        };
    };
    return ask(1);
}
