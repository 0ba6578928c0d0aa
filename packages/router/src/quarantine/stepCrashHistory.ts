import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

import type { CrashEvent } from "./CrashEvent.js";
import type { CrashHistory } from "./CrashHistory.js";
import { crashLimits } from "./crashLimits.js";

type EventOf<Kind extends CrashEvent["kind"]> = Extract<CrashEvent, { readonly kind: Kind; }>;

/** Returns the entries set last, up to the limit of remembered requests. */
const newest = <Key, Value>(entries: ReadonlyMap<Key, Value>): ReadonlyMap<Key, Value> =>
    entries.size <= crashLimits.requests ? entries : new Map([...entries].slice(entries.size - crashLimits.requests));

const quarantine = (history: CrashHistory, request: RequestFingerprint, until: Millis): CrashHistory => {
    const others = [...history.quarantined].filter(([other]) => other !== request);
    const last = Math.max(until, history.quarantined.get(request) ?? until);
    return { ...history, quarantined: newest(new Map([...others, [request, last] as const])) };
};

const recordRequestDeath = (
    history: CrashHistory,
    death: string,
    request: RequestFingerprint,
    now: Millis,
): CrashHistory => {
    const before = history.deaths.get(request) ?? new Map<string, Millis>();
    if (before.has(death)) {
        return history;
    }
    const others = [...history.deaths].filter(([other]) => other !== request);
    const deathTimes = new Map([...before, [death, now] as const]);
    const recorded: CrashHistory = { ...history, deaths: newest(new Map([...others, [request, deathTimes] as const])) };
    return deathTimes.size >= crashLimits.deaths
        ? quarantine(recorded, request, now + crashLimits.quarantineMs)
        : recorded;
};

const recordDeath = (history: CrashHistory, { death, running }: EventOf<"death">, now: Millis): CrashHistory =>
    running.reduce((all, request) => recordRequestDeath(all, death, request, now), history);

const forget = (history: CrashHistory, now: Millis): CrashHistory => {
    const deaths = [...history.deaths]
        .map(([request, deathTimes]) =>
            [request, new Map([...deathTimes].filter(([, at]) => now - at < crashLimits.rememberedMs))] as const
        )
        .filter(([, deathTimes]) => deathTimes.size > 0);
    return {
        deaths: new Map(deaths),
        quarantined: new Map([...history.quarantined].filter(([, until]) => until > now)),
    };
};

/**
 * Applies an event to the history of requests that crash endpoints.
 *
 * If a request crashes each endpoint that runs it, and its caller retries it, through another VM each time, one
 * endpoint after the other dies, with all requests running there. Symptom: the same request running at several deaths.
 * To prevent this, all VMs send each other the deaths and the requests running at each, and after the third one no VM
 * runs the request.
 */
export function stepCrashHistory(history: CrashHistory, event: CrashEvent, now: Millis): CrashHistory {
    switch (event.kind) {
        case "death":
            return recordDeath(history, event, now);
        case "quarantined":
            return quarantine(history, event.request, now + event.forMs);
        case "tick":
            return forget(history, now);
    }
}
