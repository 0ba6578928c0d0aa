import type { RouteName } from "../configuration/RouteName.js";
import type { RouteCounts } from "./RouteCounts.js";

/** What the leader has concluded from the answers so far. */
export type VersionJudgement = {
    readonly counts: ReadonlyMap<RouteName, RouteCounts>;
    /** By route: log-likelihood ratio of a bad version to a good one, never below 0. */
    readonly scores: ReadonlyMap<RouteName, number>;
    /** The first route on which the version was found to be bad. */
    readonly badRoute: RouteName | undefined;
};
