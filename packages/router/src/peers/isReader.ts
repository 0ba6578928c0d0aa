import type { Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";

/** A VM counts as living when it was heard so lately. */
const LIVING_MS: Millis = 2_000;

/**
 * Says whether this VM reads the registry for the others: the first by name of those that read the store. While two think
 * so, or none, nothing but the number of reads changes.
 */
export function isReader(members: Members, now: Millis): boolean {
    return [...members.known.values()].every(({ vm, heard }) =>
        vm > members.vm || heard === undefined || now - heard.at >= LIVING_MS || !heard.beacon.hasStore
    );
}
