import type { Millis, Step } from "@azureshunt/core";

import type { DeathReport } from "./DeathReport.js";
import { deathsOf } from "./deathsOf.js";
import { forgetExpired } from "./forgetExpired.js";
import { quarantine } from "./quarantine.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectEffect } from "./SuspectEffect.js";
import type { SuspectState } from "./SuspectState.js";

/** Earlier deaths that decide when all VMs have said what they ran. */
const EARLIER_DEATHS = 1;

/** Earlier deaths that decide when some VM has not answered: it may have run the request at fault. */
const EARLIER_DEATHS_UNHEARD = 2;

/** What is known of a death with a report added: VMs that answer late, and several that gather, add to what was told. */
const merge = (known: SuspectedDeath | undefined, { death, complete }: DeathReport, now: Millis): SuspectedDeath => {
    const cleared = known?.cleared ?? [];
    const running = [...known?.running ?? [], ...death.running.filter(request => !cleared.includes(request))];
    return {
        ...death,
        at: known?.at ?? now,
        running: [...new Set(running)],
        cleared,
        complete: complete || known?.complete === true,
    };
};

/**
 * Takes in the death of an endpoint, or more about one that is known.
 *
 * Failure guarded against: a request crashes each endpoint that runs it, its caller sends it again, and one endpoint
 * after the other goes. The second separate death decides, if just one request was present at both. Where several were,
 * by chance, none is condemned: they stay suspects, are spread apart and the next death tells them apart.
 */
export function noteDeath(state: SuspectState, report: DeathReport, now: Millis): Step<SuspectState, SuspectEffect> {
    const fresh = forgetExpired(state, now);
    const known = fresh.deaths.find(other => other.id === report.death.id);
    const death = merge(known, report, now);
    const before = { ...fresh, deaths: fresh.deaths.filter(other => other !== known) };
    if (death.running.some(request => fresh.quarantined.has(request))) {
        return { state: before, effects: [] };
    }
    if (known === undefined && death.running.length === 0) {
        return { state: fresh, effects: [] };
    }
    const suspects = death.running.filter(request => deathsOf(before, request).length >= EARLIER_DEATHS);
    const [only, ...others] = suspects;
    const needed = death.complete ? EARLIER_DEATHS : EARLIER_DEATHS_UNHEARD;
    if (only !== undefined && others.length === 0 && deathsOf(before, only).length >= needed) {
        const until = now + SUSPECT_LIMITS.quarantineMs;
        return {
            state: quarantine(before, only, until),
            effects: [{ kind: "quarantine", request: only, until }],
        };
    }
    const deaths = known === undefined
        ? [...fresh.deaths, death].slice(-SUSPECT_LIMITS.deaths)
        : fresh.deaths.map(other => other === known ? death : other);
    return { state: { ...fresh, deaths }, effects: [] };
}
