import { setTimeout as sleep } from "node:timers/promises";

import type { Incarnation } from "@azureshunt/core";
import { request } from "undici";
import { z } from "zod";

/** Bounds of asking a process whether it lives, in milliseconds. */
type ProbeBounds = {
    /** For one answer. */
    readonly answerMs: number;
    /** Between two askings. */
    readonly againMs: number;
    /** For all of them. */
    readonly allMs: number;
};

const BOUNDS: ProbeBounds = { answerMs: 2_000, againMs: 25, allMs: 8_000 };

const State = z.object({ incarnation: z.string() });

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** What one asking shows; `unclear` where the process may be about to go. */
type Probe = "alive" | "dead" | "unclear";

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
 * Failure: the process is just dying, or this VM is too busy to hear it answer; it would pass for alive, and the request
 * that crashed it goes on to the next engine. Guard: a connection that is broken off or not answered says nothing yet; the
 * engine is asked again until it answers or refuses.
 *
 * @param incarnation the run that the broken connection belonged to
 */
export async function hasDied(
    url: string,
    incarnation: Incarnation | undefined,
    bounds: ProbeBounds = BOUNDS,
): Promise<boolean> {
    const until = performance.now() + bounds.allMs;
    const ask = async (): Promise<boolean> => {
        const found = await probe(url, incarnation, bounds.answerMs);
        if (found !== "unclear" || performance.now() >= until) {
            return found === "dead";
        }
        await sleep(bounds.againMs, undefined, { ref: false });
        return ask();
    };
    return ask();
}
