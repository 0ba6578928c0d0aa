import type { Clock, Millis, ServiceName } from "@azureshunt/core";

import type { createVersionHistories } from "./createVersionHistories.js";
import { recentVersions } from "./recentVersions.js";
import type { RecordedVersions } from "./RecordedVersions.js";

type VersionNamesParts = {
    readonly clock: Clock;
    readonly histories: Pick<ReturnType<typeof createVersionHistories>, "of" | "services">;
    /** Whether the store keeps a record of versions, which `learn` tells of. */
    readonly hasRecord: boolean;
};

/** The software versions of services that the store is known to name. */
type VersionNames = {
    /** Applies what the store names as of a read or a write; `undefined` if it could not be read. */
    readonly learn: (recorded: readonly RecordedVersions[] | undefined, asOf: Millis) => void;
    /** Whether the last read failed. */
    readonly areUnreadable: () => boolean;
    /** Returns a function that tells whether the store is known to name a version of the service. */
    readonly namedIn: (service: ServiceName) => (version: string | undefined) => boolean;
    /** Whether a version has been registered lately that the store is not known to name. */
    readonly areLacking: () => boolean;
};

/** Creates the names of a VM that has not read them yet. */
export function createVersionNames({ clock, histories, hasRecord }: VersionNamesParts): VersionNames {
    const state = {
        recorded: [] as readonly RecordedVersions[],
        readAsOf: -Infinity as Millis,
        areUnreadable: false,
    };
    const versionsLately = (service: ServiceName): ReturnType<typeof recentVersions> =>
        recentVersions(histories.of(service).versions, clock.now());
    /**
     * Nothing is presumed of a service without a record, so nothing needs to be named. Until this VM has looked for a
     * record since it knows the version, one may name those that were there first.
     */
    const namedIn: VersionNames["namedIn"] = service => {
        const names = state.recorded.find(each => each.service === service)?.versions;
        if (names !== undefined || !hasRecord) {
            return version => names?.includes(version ?? null) ?? true;
        }
        const lately = versionsLately(service);
        const firstOfAll = Math.min(...[...lately.values()].map(({ firstAt }) => firstAt));
        return version => {
            const firstAt = lately.get(version)?.firstAt ?? clock.now();
            return state.readAsOf >= firstAt || firstOfAll >= firstAt;
        };
    };
    return {
        learn: (recorded, asOf) => {
            state.areUnreadable = recorded === undefined;
            if (recorded !== undefined) {
                state.recorded = recorded;
                state.readAsOf = asOf;
            }
        },
        areUnreadable: () => state.areUnreadable,
        namedIn,
        areLacking: () =>
            histories.services().some(service => {
                const isNamed = namedIn(service);
                return [...versionsLately(service).keys()].some(version => !isNamed(version));
            }),
    };
}
