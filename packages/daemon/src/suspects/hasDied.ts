import type { Incarnation, Millis } from "@azureshunt/core";
import { probeUntilClear } from "@azureshunt/request";
import type { Probe, ProbePace } from "@azureshunt/request";
import { request } from "undici";
import { z } from "zod";

/** Bounds of asking an engine whether it lives. */
type ProbeBounds = ProbePace & {
    /** For one answer. */
    readonly answerMs: Millis;
};

const BOUNDS: ProbeBounds = { answerMs: 2_000, againMs: 25, allMs: 8_000 };

const State = z.object({ incarnation: z.string() });

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** Nothing listens at the address any more. */
const REFUSED = "ECONNREFUSED";

const probe = async (url: string, incarnation: Incarnation | undefined, answerMs: number): Promise<Probe> => {
    try {
        const res = await request(`${url}/v1/state`, { signal: AbortSignal.timeout(answerMs), reset: true });
        const state = State.safeParse(await res.body.json());
        const isOther = state.success && incarnation !== undefined && state.data.incarnation !== incarnation;
        return isOther ? "dead" : "alive";
    }
    catch (err) {
        return codeOf(err) === REFUSED ? "dead" : "unclear";
    }
};

/**
 * Finds out whether a model engine's process is gone, after a connection to it broke.
 *
 * Failure: something between this VM and the engine cuts connections, and requests that merely lost theirs come under
 * suspicion. Guard: only an engine whose port refuses connections, or that is back as another run, has died.
 *
 * @param incarnation the run that the broken connection belonged to
 */
export function hasDied(
    url: string,
    incarnation: Incarnation | undefined,
    bounds: ProbeBounds = BOUNDS,
): Promise<boolean> {
    return probeUntilClear(() => probe(url, incarnation, bounds.answerMs), bounds);
}
