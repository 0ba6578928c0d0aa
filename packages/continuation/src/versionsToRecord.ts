import type { Millis } from "@azureshunt/core";

import { isComplete } from "./isComplete.js";
import { recentVersions } from "./recentVersions.js";
import type { RecordedVersions } from "./RecordedVersions.js";
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
    history: VersionHistory,
    recorded: Versions | undefined,
    now: Millis,
): Versions | undefined {
    const lately = [...recentVersions(history.versions, now).keys()].map(version => version ?? null);
    const kept = isComplete(history, now) ? [] : recorded;
    if (lately.length === 0 || kept === undefined) {
        return undefined;
    }
    const wanted = [...new Set([...kept, ...lately])].toSorted();
    return JSON.stringify(wanted) === JSON.stringify(recorded) ? undefined : wanted;
}
