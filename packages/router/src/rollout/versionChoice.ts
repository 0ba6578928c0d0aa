import type { Millis } from "@azureshunt/core";

import { rolloutTiming } from "./rolloutTiming.js";
import type { RolloutView } from "./RolloutView.js";

/** Which endpoints of a service may get a request during a rollout. */
type VersionChoice =
    /** The new version only, or the old one if there is no endpoint of the new one. */
    | "new"
    /** A few endpoints of the new version, so that these get their usual load; if there are none, the old one. */
    | "canary"
    /** The old version only, or the new one if there is no endpoint of the old one. */
    | "old"
    /** The old version, and nothing else. */
    | "only-old";

/**
 * Chooses the version that serves a request.
 *
 * A VM that is cut off cannot learn that a version was taken back, so it sends nothing there unless the leader stated
 * the phase lately. A completed rollout needs no fresh statement, as it cannot be undone.
 *
 * @param isCanary whether this request was drawn for the share that tries the new version
 */
export function versionChoice(view: RolloutView, isCanary: boolean, now: Millis): VersionChoice {
    const isFresh = now - view.statedAt < rolloutTiming.freshMs;
    switch (view.phase) {
        case "completed":
            return "new";
        case "rolled-back":
            return "only-old";
        case "switching":
            return isFresh ? "new" : "old";
        case "canary":
            return isFresh && isCanary ? "canary" : "old";
        case undefined:
            return "old";
    }
}
