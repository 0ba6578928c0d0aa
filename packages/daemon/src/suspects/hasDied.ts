import type { Incarnation } from "@azureshunt/core";
import { request } from "undici";
import { z } from "zod";

const PROBE_BOUND_MS = 2_000;

const State = z.object({ incarnation: z.string() });

const isRefused = (err: unknown): boolean => err instanceof Error && "code" in err && err.code === "ECONNREFUSED";

/**
 * Finds out whether a model engine's process is gone, after a connection to it broke.
 *
 * Failure: something between this VM and the engine cuts connections, and requests that merely lost theirs come under
 * suspicion. Guard: only an engine whose port refuses connections, or that is back as another run, has died.
 *
 * @param incarnation the run that the broken connection belonged to
 */
export async function hasDied(url: string, incarnation: Incarnation | undefined): Promise<boolean> {
    try {
        const res = await request(`${url}/v1/state`, { signal: AbortSignal.timeout(PROBE_BOUND_MS), reset: true });
        const state = State.safeParse(await res.body.json());
        return state.success && incarnation !== undefined && state.data.incarnation !== incarnation;
    }
    catch (err) {
        return isRefused(err);
    }
}
