import type { Millis } from "@azureshunt/core";

import { isFinal } from "./isFinal.js";
import type { RolloutPhase } from "./RolloutPhase.js";
import { rolloutTiming } from "./rolloutTiming.js";

type RolloutConditions = {
    readonly phase: RolloutPhase | undefined;
    /** Time since the order. */
    readonly ageMs: Millis;
    readonly durationMs: Millis;
    /** Time since the leader began the phase. */
    readonly phaseMs: Millis;
    /** Whether the new version was found to be bad. */
    readonly isBad: boolean;
    /** Whether any endpoint of the new version, or of another one, takes requests. */
    readonly hasNew: boolean;
    readonly hasOld: boolean;
};

type RolloutPlan = { readonly phase: RolloutPhase; readonly reason: string; };

/**
 * Plans the phase of a rollout.
 *
 * A bad version must reach few callers, so it is tried by a bounded share for as long as the duration allows: one that
 * fails late or under load shows only with time. A good version must be in place before the duration ends, however few
 * requests come, so it is the time that ends the trial, unless failures do. The old endpoints are stopped as soon as the
 * rollout is completed, so requests leave them before that.
 */
export function planRollout(conditions: RolloutConditions): RolloutPlan {
    const { phase, ageMs, durationMs, phaseMs, isBad, hasNew, hasOld } = conditions;
    if (phase !== undefined && isFinal(phase)) {
        return { phase, reason: "ended before" };
    }
    if (isBad) {
        return {
            phase: "rolled-back",
            reason: "its answers fail or are slow more often than those of the old version",
        };
    }
    if (!hasNew) {
        return ageMs >= durationMs * rolloutTiming.absentFraction
            ? { phase: "rolled-back", reason: "no endpoint of the version takes requests" }
            : { phase: phase ?? "canary", reason: "waiting for endpoints of the version" };
    }
    if (!hasOld) {
        return { phase: "completed", reason: "no endpoint of another version takes requests" };
    }
    if (phase === "switching") {
        const isDrained = phaseMs >= durationMs * rolloutTiming.switchingFraction;
        return isDrained || ageMs >= durationMs * rolloutTiming.lastFraction
            ? { phase: "completed", reason: "no more failures than the old version" }
            : { phase, reason: "the old endpoints finish their requests" };
    }
    return ageMs >= durationMs * rolloutTiming.canaryFraction
        ? { phase: "switching", reason: "the trial has ended without such failures" }
        : { phase: "canary", reason: "the trial is in progress" };
}
