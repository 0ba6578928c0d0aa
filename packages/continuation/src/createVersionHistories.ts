import type { Clock, Millis, ServiceName } from "@azureshunt/core";

import { emptyHistory } from "./emptyHistory.js";
import type { HistoryEvent } from "./HistoryEvent.js";
import type { RegisteredRun } from "./RegisteredRun.js";
import { stepHistory } from "./stepHistory.js";
import type { StreamKnowledge } from "./StreamKnowledge.js";
import type { VersionHistory } from "./VersionHistory.js";

type HistoriesParts = {
    readonly clock: Clock;
    /** Whether all VMs start for the first time, so that no stream can have begun before. */
    readonly isFirstStart: boolean;
    /** All endpoints that are registered, also those that are leaving. */
    readonly runs: () => readonly RegisteredRun[];
    /** Whether the registry was current lately enough that no change was missed. */
    readonly isWithoutGap: () => boolean;
};

/** The software versions of all services lately. */
type VersionHistories = {
    readonly of: (service: ServiceName) => VersionHistory;
    /** Services of which any endpoint has been registered. */
    readonly services: () => readonly ServiceName[];
    /** Adds entries that were read, also those that are gone again. */
    readonly add: (runs: readonly RegisteredRun[]) => void;
    readonly applyStated: (askedAt: Millis, stated: StreamKnowledge["histories"]) => void;
    readonly stated: () => StreamKnowledge["histories"];
    /** Checks whether the registry has been current all the time. */
    readonly tick: () => void;
};

const isCovered = ({ coveredSince }: VersionHistory): boolean => coveredSince !== Infinity;

/** Creates the histories of services; nothing is known yet. */
export function createVersionHistories(parts: HistoriesParts): VersionHistories {
    const { clock } = parts;
    const histories = new Map<ServiceName, VersionHistory>();
    const state = { isFirstRead: true };
    const of = (service: ServiceName): VersionHistory => histories.get(service) ?? emptyHistory;
    const apply = (service: ServiceName, event: HistoryEvent): void => {
        histories.set(service, stepHistory(of(service), event, clock.now()));
    };
    /** How long others can have known an entry that this VM reads now. */
    const ageOf = (service: ServiceName, bornAt: number): Millis =>
        isCovered(of(service)) ? 0 : Math.max(0, clock.epoch() - bornAt);

    const add: VersionHistories["add"] = runs => {
        [...new Set(runs.map(({ service }) => service))].forEach(service =>
            apply(service, {
                kind: "registered",
                versions: runs
                    .filter(run => run.service === service)
                    .map(({ softwareVersion, bornAt }) => [softwareVersion, ageOf(service, bornAt)]),
            })
        );
    };
    const tick = (): void => {
        add(parts.runs());
        if (!parts.isWithoutGap()) {
            [...histories.keys()].forEach(service => apply(service, { kind: "outdated" }));
            return;
        }
        const since = parts.isFirstStart && state.isFirstRead ? -Infinity : clock.now();
        state.isFirstRead &&= histories.size === 0;
        [...histories.keys()].forEach(service => apply(service, { kind: "current", since }));
    };
    return {
        of,
        services: () => [...histories.keys()],
        add,
        applyStated: (askedAt, stated) =>
            stated.forEach(({ service, coveredMs, versions }) =>
                apply(service, { kind: "stated", askedAt, coveredMs, versions })
            ),
        stated: () =>
            [...histories].filter(([, history]) => isCovered(history)).map(([service, history]) => ({
                service,
                coveredMs: clock.now() - history.coveredSince,
                versions: [...history.versions].map(([version, { firstAt, lastAt }]) => [
                    version,
                    clock.now() - firstAt,
                    clock.now() - lastAt,
                ]),
            })),
        tick,
    };
}
