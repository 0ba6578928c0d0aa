import type { Millis } from "@azureshunt/core";

import type { RecordedVersions } from "./RecordedVersions.js";
import { STREAM_LIFE_MS } from "./STREAM_LIFE_MS.js";
import type { VersionHistory } from "./VersionHistory.js";

type Versions = RecordedVersions["versions"];

/**
 * Returns the versions of a service that the store should name.
 *
 * A record that leaves out a version would let streams be joined after a restart of all VMs. So a VM whose history does
 * not go back far enough only adds to a record, and begins none.
 *
 * @param recorded the versions that the store names; undefined if it has no record
 * @returns undefined if the record is to stay as it is
 */
export function versionsToRecord(
    { coveredSince, versions }: VersionHistory,
    recorded: Versions | undefined,
    now: Millis,
): Versions | undefined {
    const lately = [...versions]
        .filter(([, { lastAt }]) => now - lastAt <= STREAM_LIFE_MS)
        .map(([version]) => version ?? null);
    const isComplete = now - coveredSince >= STREAM_LIFE_MS;
    if (lately.length === 0 || (!isComplete && recorded === undefined)) {
        return undefined;
    }
    const wanted = [...new Set(isComplete ? lately : [...recorded ?? [], ...lately])].toSorted();
    return JSON.stringify(wanted) === JSON.stringify(recorded) ? undefined : wanted;
}
