import type { RouteName } from "../configuration/RouteName.js";

/** Answers on one route since the order of a rollout, by version; bad ones are failures and slow answers. */
export type RouteCounts = {
    readonly route: RouteName;
    readonly newAnswers: number;
    readonly newBad: number;
    readonly oldAnswers: number;
    readonly oldBad: number;
};
