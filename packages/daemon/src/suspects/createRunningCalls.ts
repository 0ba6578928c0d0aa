import type { EndpointName, Millis } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";
import { deathIdOf } from "./deathIdOf.js";
import type { RunningCalls } from "./RunningCalls.js";

/** How long calls that died with a run of an endpoint are remembered; VMs that are busy ask late what was there. */
const REMEMBERED_MS = 60_000;

/** Time within which one death shows on all connections; calls that were sent to what passed for another run count too. */
const LATELY_MS = 3_000;

type Entry = {
    readonly call: Call;
    readonly endpoint: EndpointName;
    /** Id of the death that would end it. */
    readonly death: string;
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
    const of = (endpoint: EndpointName): Entry[] => [...entries.get(endpoint) ?? []];
    const diedWithin = ({ diedAt }: Entry, at: Millis, ms: Millis): boolean =>
        diedAt === undefined || at - diedAt <= ms;
    const isForgotten = (entry: Entry, at: Millis): boolean => !diedWithin(entry, at, REMEMBERED_MS);

    return {
        add: (call, place) => {
            const { endpoint } = place;
            const entry: Entry = { call, endpoint, death: deathIdOf(place), isAnswering: false, diedAt: undefined };
            const set = entries.get(endpoint) ?? new Set<Entry>();
            entries.set(endpoint, set);
            [...set].filter(other => isForgotten(other, now())).forEach(other => set.delete(other));
            set.add(entry);
            const answering = (): void => {
                entry.isAnswering = true;
            };
            const end = (died: boolean): void => {
                entry.diedAt = now();
                if (!died) {
                    set.delete(entry);
                }
            };
            return { answering, end };
        },
        now: () => [...entries.keys()].flatMap(of).filter(({ diedAt }) => diedAt === undefined),
        at: endpoint => of(endpoint).filter(({ diedAt }) => diedAt === undefined).map(({ call }) => call),
        presentAt: (death, endpoint, at) =>
            of(endpoint)
                .filter(entry => diedWithin(entry, at, entry.death === death ? REMEMBERED_MS : LATELY_MS))
                .map(({ call }) => call),
    };
}
