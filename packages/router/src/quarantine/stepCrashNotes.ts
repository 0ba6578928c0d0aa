import type { Millis } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

import type { CrashEvent } from "./CrashEvent.js";
import { crashLimits } from "./crashLimits.js";
import type { CrashNotes } from "./CrashNotes.js";

type EventOf<Kind extends CrashEvent["kind"]> = Extract<CrashEvent, { readonly kind: Kind; }>;

/** Keeps the entries that were set last. */
const newest = <Key, Value>(entries: ReadonlyMap<Key, Value>): ReadonlyMap<Key, Value> =>
    entries.size <= crashLimits.requests ? entries : new Map([...entries].slice(entries.size - crashLimits.requests));

const stop = (notes: CrashNotes, request: RequestFingerprint, until: Millis): CrashNotes => {
    const others = [...notes.stopped].filter(([other]) => other !== request);
    const last = Math.max(until, notes.stopped.get(request) ?? until);
    return { ...notes, stopped: newest(new Map([...others, [request, last] as const])) };
};

const noteDeath = (notes: CrashNotes, death: string, request: RequestFingerprint, now: Millis): CrashNotes => {
    const before = notes.deaths.get(request) ?? new Map<string, Millis>();
    if (before.has(death)) {
        return notes;
    }
    const others = [...notes.deaths].filter(([other]) => other !== request);
    const present = new Map([...before, [death, now] as const]);
    const noted: CrashNotes = { ...notes, deaths: newest(new Map([...others, [request, present] as const])) };
    return present.size >= crashLimits.deaths ? stop(noted, request, now + crashLimits.stoppedMs) : noted;
};

const takeDeath = (notes: CrashNotes, { death, running }: EventOf<"death">, now: Millis): CrashNotes =>
    running.reduce((all, request) => noteDeath(all, death, request, now), notes);

const forget = (notes: CrashNotes, now: Millis): CrashNotes => {
    const deaths = [...notes.deaths]
        .map(([request, present]) =>
            [request, new Map([...present].filter(([, at]) => now - at < crashLimits.rememberedMs))] as const
        )
        .filter(([, present]) => present.size > 0);
    return { deaths: new Map(deaths), stopped: new Map([...notes.stopped].filter(([, until]) => until > now)) };
};

/**
 * Takes in what is learnt about requests that crash endpoints.
 *
 * Failure: a request crashes each endpoint that runs it, and its caller sends it again, through another VM each time. One
 * endpoint after the other goes, with all that runs there. It shows as the same request present at several deaths. Guard:
 * all VMs tell each other of deaths and who was there, and from the third one on nobody runs the request any more.
 */
export function stepCrashNotes(notes: CrashNotes, event: CrashEvent, now: Millis): CrashNotes {
    switch (event.kind) {
        case "death":
            return takeDeath(notes, event, now);
        case "stopped":
            return stop(notes, event.request, now + event.forMs);
        case "tick":
            return forget(notes, now);
    }
}
