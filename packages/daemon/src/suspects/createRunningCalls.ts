import type { EndpointName, Millis } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";
import { deathIdOf } from "./deathIdOf.js";
import type { RunningCalls } from "./RunningCalls.js";

/**
 * How long calls are kept that ended with the death of their endpoint, since busy VMs query late what was running
 * there.
 */
const KEEP_DIED_MS = 60_000;

/**
 * Time within which one death is noticed on all connections. Calls that ended within it count for the death even if
 * they were sent to what was taken for another incarnation.
 */
const SAME_DEATH_MS = 3_000;

type Entry = {
    readonly call: Call;
    readonly endpoint: EndpointName;
    /** Id of the death that the endpoint's incarnation would die. */
    readonly deathId: string;
    isAnswering: boolean;
    diedAt: Millis | undefined;
};

/**
 * Keeps the calls that run at endpoints.
 *
 * @param now the daemon's clock
 */
export function createRunningCalls(now: () => Millis): RunningCalls {
    const entries = new Map<EndpointName, Set<Entry>>();
    const entriesOf = (endpoint: EndpointName): Entry[] => [...entries.get(endpoint) ?? []];
    const diedWithin = ({ diedAt }: Entry, at: Millis, ms: Millis): boolean =>
        diedAt === undefined || at - diedAt <= ms;
    const isExpired = (entry: Entry, at: Millis): boolean => !diedWithin(entry, at, KEEP_DIED_MS);

    return {
        add: (call, place) => {
            const { endpoint } = place;
            const entry: Entry = { call, endpoint, deathId: deathIdOf(place), isAnswering: false, diedAt: undefined };
            const set = entries.get(endpoint) ?? new Set<Entry>();
            entries.set(endpoint, set);
            [...set].filter(other => isExpired(other, now())).forEach(other => set.delete(other));
            set.add(entry);
            const answerStarted = (): void => {
                entry.isAnswering = true;
            };
            const end = (died: boolean): void => {
                entry.diedAt = now();
                if (!died) {
                    set.delete(entry);
                }
            };
            return { answerStarted, end };
        },
        all: () => [...entries.keys()].flatMap(entriesOf).filter(({ diedAt }) => diedAt === undefined),
        at: endpoint => entriesOf(endpoint).filter(({ diedAt }) => diedAt === undefined).map(({ call }) => call),
        runningAtDeath: (deathId, endpoint, at) =>
            entriesOf(endpoint)
                .filter(entry => diedWithin(entry, at, entry.deathId === deathId ? KEEP_DIED_MS : SAME_DEATH_MS))
                .map(({ call }) => call),
    };
}
