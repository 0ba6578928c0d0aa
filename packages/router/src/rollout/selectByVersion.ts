import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { versionChoice } from "./versionChoice.js";

type Versioned = Pick<EndpointEntry, "name" | "softwareVersion">;

/** Sorts by name, so that all VMs try the new version at the same endpoints. */
const firstOf = <Entry extends Versioned>(entries: readonly Entry[], share: number): readonly Entry[] =>
    entries.toSorted((a, b) => a.name < b.name ? -1 : 1).slice(0, Math.ceil(entries.length * share));

/**
 * Selects the endpoints of a service that may get a request during a rollout.
 *
 * The requests that try a new version go to the same share of its endpoints, so that these get their usual load.
 *
 * @param share fraction of the requests that try the new version
 * @param hasRoom whether an endpoint of the new version may get the request; one of the old version may in any case, as
 *     its requests must not go to a version that is on trial
 */
export function selectByVersion<Entry extends Versioned>(
    entries: readonly Entry[],
    version: string,
    choice: ReturnType<typeof versionChoice>,
    share: number,
    hasRoom: (entry: Entry) => boolean = () => true,
): readonly Entry[] {
    const isNew = ({ softwareVersion }: Entry): boolean => softwareVersion === version;
    const newer = entries.filter(isNew);
    const older = entries.filter(entry => !isNew(entry));
    const orElse = (wanted: readonly Entry[], other: readonly Entry[]): readonly Entry[] =>
        wanted.length > 0 ? wanted : other;
    switch (choice) {
        case "new":
            return orElse(newer.filter(hasRoom), older);
        case "canary":
            return orElse(firstOf(newer, share).filter(hasRoom), older);
        case "old":
            return orElse(older, newer);
        case "only-old":
            return older;
    }
}
