import { setTimeout as sleep } from "node:timers/promises";

import type { Incarnation } from "@azureshunt/core";
import { request } from "undici";
import { z } from "zod";

const PROBE_BOUND_MS = 2_000;
/** Between two askings, and how often it is asked: a process that has crashed is gone within some milliseconds. */
const ASK_AGAIN_MS = 25;
const MOST_ASKINGS = 12;

const State = z.object({ incarnation: z.string() });

const codeOf = (err: unknown): unknown => err instanceof Error && "code" in err ? err.code : undefined;

/** Errors of a connection that was taken and then broken off: the process may be about to go. */
const BROKEN_OFF: ReadonlySet<unknown> = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/**
 * Finds out whether a model engine's process is gone, after a connection to it broke.
 *
 * Failure: something between this VM and the engine cuts connections, and requests that merely lost theirs come under
 * suspicion. Guard: only an engine whose port refuses connections, or that is back as another run, has died.
 *
 * Failure: the process is just dying and its port still takes connections, which are reset; it would pass for alive, and
 * the request that crashed it goes on to the next engine. Guard: a connection that is broken off says nothing yet; it is
 * asked again until the engine answers or refuses.
 *
 * @param incarnation the run that the broken connection belonged to
 */
export async function hasDied(
    url: string,
    incarnation: Incarnation | undefined,
    askings: number = MOST_ASKINGS,
): Promise<boolean> {
    try {
        const res = await request(`${url}/v1/state`, { signal: AbortSignal.timeout(PROBE_BOUND_MS), reset: true });
        const state = State.safeParse(await res.body.json());
        return state.success && incarnation !== undefined && state.data.incarnation !== incarnation;
    }
    catch (err) {
        if (!BROKEN_OFF.has(codeOf(err)) || askings <= 1) {
            return codeOf(err) === "ECONNREFUSED";
        }
        await sleep(ASK_AGAIN_MS, undefined, { ref: false });
        return hasDied(url, incarnation, askings - 1);
    }
}
