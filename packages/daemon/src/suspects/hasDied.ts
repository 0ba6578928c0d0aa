import type { Incarnation, Millis } from "@azureshunt/core";
import { isFinalStatus, maxAnswerHeadBytes, maxReportBytes } from "@azureshunt/http";
import { timeoutSignal } from "@azureshunt/lifecycle";
import { probeUntilClear } from "@azureshunt/request";
import type { ProbeResult, ProbeTiming } from "@azureshunt/request";
import { Agent, request } from "undici";
import { z } from "zod";

/** Timeouts and intervals of probing an engine. */
type ProbeBounds = ProbeTiming & {
    /** Timeout of one probe. */
    readonly answerMs: Millis;
};

const BOUNDS: ProbeBounds = { answerMs: 2_000, againMs: 25, allMs: 8_000 };

const State = z.object({ incarnation: z.string() });

const dispatcher = new Agent({ maxHeaderSize: maxAnswerHeadBytes, maxResponseSize: maxReportBytes });

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** Error of a connection to an address where nothing listens. */
const REFUSED = "ECONNREFUSED";

const probe = async (url: string, incarnation: Incarnation | undefined, answerMs: number): Promise<ProbeResult> => {
    try {
        const res = await request(`${url}/v1/state`, {
            dispatcher,
            signal: timeoutSignal(answerMs),
            reset: true,
        });
        const state = State.safeParse(await res.body.json());
        if (!isFinalStatus(res.statusCode)) {
            return "unclear";
        }
        const isOther = state.success && incarnation !== undefined && state.data.incarnation !== incarnation;
        return isOther ? "dead" : "alive";
    }
    catch (err) {
        return codeOf(err) === REFUSED ? "dead" : "unclear";
    }
};

/**
 * Returns whether a model engine's process is gone, after a connection to it broke.
 *
 * If something between this VM and the engine cuts connections, requests that merely lost their connection would become
 * suspects. To prevent this, only an engine whose port refuses connections, or that answers as another incarnation,
 * counts as dead.
 *
 * @param incarnation the incarnation that the broken connection belonged to
 */
export function hasDied(
    url: string,
    incarnation: Incarnation | undefined,
    bounds: ProbeBounds = BOUNDS,
): Promise<boolean> {
    return probeUntilClear(() => probe(url, incarnation, bounds.answerMs), bounds);
}
