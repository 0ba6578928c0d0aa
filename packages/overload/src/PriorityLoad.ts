import type { GroupShare } from "./GroupShare.js";
import type { LoadGroup } from "./LoadGroup.js";

/** Requests of the groups at one priority. */
export type PriorityLoad = {
    /** Recent requests by group, older ones counted less. */
    readonly recents: ReadonlyMap<LoadGroup, number>;
    /** `undefined` while nothing of this priority is refused. */
    readonly share: GroupShare | undefined;
};
