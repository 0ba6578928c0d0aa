import type { Millis, Step } from "@azureshunt/core";

import type { DeathReport } from "./DeathReport.js";
import { deathsOf } from "./deathsOf.js";
import { forgetExpired } from "./forgetExpired.js";
import { quarantine } from "./quarantine.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectEffect } from "./SuspectEffect.js";
import type { SuspectState } from "./SuspectState.js";

/** Earlier deaths of a suspect that lead to its quarantine if all VMs have reported what they ran. */
const MIN_EARLIER_DEATHS = 1;

/** The same if a VM has not reported yet: one more is required, because that VM may have run the cause. */
const MIN_EARLIER_DEATHS_INCOMPLETE = 2;

/** Merges a report into what is known of a death. VMs may report late, and several VMs may collect the reports. */
const mergeReport = (
    known: SuspectedDeath | undefined,
    { death, complete }: DeathReport,
    now: Millis,
): SuspectedDeath => {
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
 * Records the death of an endpoint, or a further report on a known death.
 *
 * If a request crashes every endpoint that runs it and its caller keeps sending it, one endpoint after the other dies.
 * To prevent this, the second separate death quarantines the request if it is the only one that was running at both. If
 * several requests were running at both by chance, none is quarantined: they stay suspects, are sent to different
 * endpoints, and the next death tells them apart.
 */
export function recordDeath(state: SuspectState, report: DeathReport, now: Millis): Step<SuspectState, SuspectEffect> {
    const current = forgetExpired(state, now);
    const known = current.deaths.find(other => other.id === report.death.id);
    const death = mergeReport(known, report, now);
    const withoutDeath = { ...current, deaths: current.deaths.filter(other => other !== known) };
    if (death.running.some(request => current.quarantined.has(request))) {
        return { state: withoutDeath, effects: [] };
    }
    if (known === undefined && death.running.length === 0) {
        return { state: current, effects: [] };
    }
    const suspects = death.running.filter(request => deathsOf(withoutDeath, request).length >= MIN_EARLIER_DEATHS);
    const [suspect, ...otherSuspects] = suspects;
    const minEarlierDeaths = death.complete ? MIN_EARLIER_DEATHS : MIN_EARLIER_DEATHS_INCOMPLETE;
    if (
        suspect !== undefined && otherSuspects.length === 0 &&
        deathsOf(withoutDeath, suspect).length >= minEarlierDeaths
    ) {
        const until = now + SUSPECT_LIMITS.quarantineMs;
        return {
            state: quarantine(withoutDeath, suspect, until),
            effects: [{ kind: "quarantine", request: suspect, until }],
        };
    }
    const deaths = known === undefined
        ? [...current.deaths, death].slice(-SUSPECT_LIMITS.maxDeaths)
        : current.deaths.map(other => other === known ? death : other);
    return { state: { ...current, deaths }, effects: [] };
}
