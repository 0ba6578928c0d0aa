import type { Millis } from "@azureshunt/core";

import type { HistoryEvent } from "./HistoryEvent.js";
import { recentVersions } from "./recentVersions.js";
import type { VersionHistory } from "./VersionHistory.js";

type Versions = VersionHistory["versions"];

const withVersion = (versions: Versions, version: string | undefined, firstAt: Millis, lastAt: Millis): Versions => {
    const before = versions.get(version);
    return new Map(versions).set(version, {
        firstAt: Math.min(firstAt, before?.firstAt ?? Infinity),
        lastAt: Math.max(lastAt, before?.lastAt ?? -Infinity),
    });
};

/** Applies an event to what is known of a service's software versions. */
export function stepHistory(before: VersionHistory, event: HistoryEvent, now: Millis): VersionHistory {
    switch (event.kind) {
        case "registered":
            return {
                ...before,
                // The others are forgotten, so that a version that comes back counts as new.
                versions: event.versions.reduce(
                    (versions, [version, ageMs]) => withVersion(versions, version, now - ageMs, now),
                    recentVersions(before.versions, now),
                ),
            };
        case "current":
            return { ...before, coveredSince: Math.min(before.coveredSince, event.since) };
        case "outdated":
            return { ...before, coveredSince: Infinity };
        case "stated":
            return {
                // It ends where the peer was asked, so it joins on only to what this VM has known since before that.
                coveredSince: before.coveredSince <= event.askedAt
                    ? Math.min(before.coveredSince, event.askedAt - event.coveredMs)
                    : before.coveredSince,
                versions: event.versions.reduce(
                    (versions, [version, firstMs, lastMs]) =>
                        withVersion(versions, version, event.askedAt - firstMs, event.askedAt - lastMs),
                    before.versions,
                ),
            };
    }
}
