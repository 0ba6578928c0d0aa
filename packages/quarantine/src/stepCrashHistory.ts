import type { Millis } from "@azureshunt/core";

import type { Accusation } from "./Accusation.js";
import { countedDeaths } from "./countedDeaths.js";
import type { CrashEvent } from "./CrashEvent.js";
import type { CrashHistory } from "./CrashHistory.js";
import { crashLimits } from "./crashLimits.js";
import { isRecorded } from "./isRecorded.js";
import type { Suspect } from "./Suspect.js";
import type { SuspectKey } from "./SuspectKey.js";

type EventOf<Kind extends CrashEvent["kind"]> = Extract<CrashEvent, { readonly kind: Kind; }>;

/** Returns the map with an entry set as its last one, without the first ones over the limit. */
const withNewest = <Key, Value>(
    entries: ReadonlyMap<Key, Value>,
    key: Key,
    value: Value,
    limit: number,
): ReadonlyMap<Key, Value> => {
    const others = [...entries].filter(([other]) => other !== key);
    return new Map([...others.slice(Math.max(0, others.length - limit + 1)), [key, value] as const]);
};

const isAnsweredSince = ({ answers }: CrashHistory, key: SuspectKey, until: Millis): boolean =>
    (answers.get(key) ?? -Infinity) > until - crashLimits.quarantineMs;

const quarantine = (history: CrashHistory, key: SuspectKey, until: Millis): CrashHistory => {
    const last = Math.max(until, history.quarantined.get(key) ?? until);
    return { ...history, quarantined: withNewest(history.quarantined, key, last, crashLimits.suspects) };
};

const accuse = (history: CrashHistory, death: string, { key, stage }: Suspect, now: Millis): CrashHistory => {
    const before: ReadonlyMap<string, Accusation> = history.accusations.get(key) ?? new Map<string, Accusation>();
    if (isRecorded(history, key, death, now)) {
        return history;
    }
    const deaths = new Map([...before, [death, { at: now, stage }] as const]);
    return { ...history, accusations: withNewest(history.accusations, key, deaths, crashLimits.suspects) };
};

const recordDeath = (
    history: CrashHistory,
    { death, suspects, ageMs }: EventOf<"death">,
    now: Millis,
): CrashHistory => {
    const hasBegun = !history.begunDeaths.has(death) && suspects.some(({ stage }) => stage === "begun");
    const begunDeaths = hasBegun
        ? withNewest(history.begunDeaths, death, now, crashLimits.suspects)
        : history.begunDeaths;
    const recorded = suspects.reduce<CrashHistory>(
        (all, suspect) => accuse(all, death, suspect, now - ageMs),
        { ...history, begunDeaths },
    );
    return suspects
        .filter(({ key }) => countedDeaths(recorded, key) >= crashLimits.deaths)
        .reduce((all, { key }) => quarantine(all, key, now + crashLimits.quarantineMs), recorded);
};

/** Lifts a verdict if the answer is later, or shows that the deaths behind it do not suffice. */
const recordAnswer = (history: CrashHistory, { key, at }: EventOf<"answered">): CrashHistory => {
    const last = Math.max(at, history.answers.get(key) ?? at);
    const answered = { ...history, answers: withNewest(history.answers, key, last, crashLimits.suspects) };
    const until = history.quarantined.get(key);
    const isLifted = until !== undefined
        && (isAnsweredSince(answered, key, until)
            || (history.accusations.has(key) && countedDeaths(answered, key) < crashLimits.deaths));
    return isLifted
        ? { ...answered, quarantined: new Map([...history.quarantined].filter(([other]) => other !== key)) }
        : answered;
};

const forget = (history: CrashHistory, now: Millis): CrashHistory => {
    const isRemembered = (at: Millis): boolean => now - at < crashLimits.rememberedMs;
    const accusations = [...history.accusations]
        .map(([key, deaths]) => [key, new Map([...deaths].filter(([, { at }]) => isRemembered(at)))] as const)
        .filter(([, deaths]) => deaths.size > 0);
    return {
        accusations: new Map(accusations),
        begunDeaths: new Map([...history.begunDeaths].filter(([, at]) => isRemembered(at))),
        answers: new Map([...history.answers].filter(([, at]) => now - at < crashLimits.quarantineMs)),
        quarantined: new Map([...history.quarantined].filter(([, until]) => until > now)),
    };
};

/**
 * Applies an event to the history of what crashes endpoints.
 *
 * If a request crashes each endpoint that begins to answer it, one endpoint after the other dies, with all requests
 * running there: its caller retries it, or many requests share the prompt part that is the cause. Symptom: the same
 * suspect at several deaths. To prevent this, all VMs send each other the suspects of each death, and after the third
 * death no VM runs them.
 */
export function stepCrashHistory(history: CrashHistory, event: CrashEvent, now: Millis): CrashHistory {
    switch (event.kind) {
        case "death":
            return recordDeath(history, event, now);
        case "answered":
            return recordAnswer(history, event);
        case "quarantined":
            return isAnsweredSince(history, event.key, now + event.forMs)
                ? history
                : quarantine(history, event.key, now + event.forMs);
        case "tick":
            return forget(history, now);
    }
}
