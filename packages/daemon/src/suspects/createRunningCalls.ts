import type { EndpointName, Millis } from "@azureshunt/core";

import type { Call } from "../ports/Call.js";
import type { RunningCalls } from "./RunningCalls.js";

/** Time within which one death of an endpoint shows on all connections to it, with time to spare. */
const LATELY_MS = 3_000;

type Entry = {
    readonly call: Call;
    readonly endpoint: EndpointName;
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
    const isLate = ({ diedAt }: Entry, at: Millis): boolean => diedAt !== undefined && at - diedAt > LATELY_MS;

    return {
        add: (call, endpoint) => {
            const entry: Entry = { call, endpoint, isAnswering: false, diedAt: undefined };
            const set = entries.get(endpoint) ?? new Set<Entry>();
            entries.set(endpoint, set);
            [...set].filter(other => isLate(other, now())).forEach(other => set.delete(other));
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
        lately: (endpoint, at) => of(endpoint).filter(entry => !isLate(entry, at)).map(({ call }) => call),
    };
}
