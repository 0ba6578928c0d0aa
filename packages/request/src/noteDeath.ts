import type { Millis, Step } from "@azureshunt/core";

import type { DeathReport } from "./DeathReport.js";
import { deathsOf } from "./deathsOf.js";
import { forgetExpired } from "./forgetExpired.js";
import { quarantine } from "./quarantine.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectEffect } from "./SuspectEffect.js";
import type { SuspectState } from "./SuspectState.js";

/** Earlier deaths that decide when all VMs have said what they ran. */
const EARLIER_DEATHS = 1;

/** Earlier deaths that decide when some VM has not answered: it may have run the request at fault. */
const EARLIER_DEATHS_UNHEARD = 2;

/**
 * Takes in the death of an endpoint.
 *
 * Failure guarded against: a request crashes each endpoint that runs it, its caller sends it again, and one endpoint
 * after the other goes. The second separate death decides, if just one request was present at both. Where several were,
 * by chance, none is condemned: they stay suspects, are spread apart and the next death tells them apart.
 */
export function noteDeath(state: SuspectState, report: DeathReport, now: Millis): Step<SuspectState, SuspectEffect> {
    const fresh = forgetExpired(state, now);
    const { death, complete } = report;
    if (fresh.deaths.some(known => known.id === death.id) || death.running.length === 0) {
        return { state: fresh, effects: [] };
    }
    const blamed = death.running.filter(request => fresh.quarantined.has(request));
    if (blamed.length > 0) {
        return { state: fresh, effects: [] };
    }
    const suspects = death.running.filter(request => deathsOf(fresh, request).length >= EARLIER_DEATHS);
    const [only, ...others] = suspects;
    const needed = complete ? EARLIER_DEATHS : EARLIER_DEATHS_UNHEARD;
    if (only !== undefined && others.length === 0 && deathsOf(fresh, only).length >= needed) {
        const until = now + SUSPECT_LIMITS.quarantineMs;
        return {
            state: quarantine(fresh, only, until),
            effects: [{ kind: "quarantine", request: only, until }],
        };
    }
    const deaths = [...fresh.deaths, { ...death, at: now }].slice(-SUSPECT_LIMITS.deaths);
    return { state: { ...fresh, deaths }, effects: [] };
}
