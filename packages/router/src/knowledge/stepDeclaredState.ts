import type { Millis } from "@azureshunt/core";

import type { DeclarationEvent } from "./DeclarationEvent.js";
import type { DeclaredState } from "./DeclaredState.js";

/** Target versions of a model that are remembered: an engine more versions behind is long overdue. */
const TARGET_HISTORY = 8;
const FIRST_VERSION = 1;

type EventOf<Kind extends DeclarationEvent["kind"]> = Extract<DeclarationEvent, { readonly kind: Kind; }>;

const revisionOf = (declaredState: DeclaredState): number => declaredState.configuration?.revision ?? -1;

/**
 * If a delayed read or an outdated peer delivers an older configuration, a withdrawn key would work again. To prevent
 * this, a process accepts only revisions above its own.
 */
const adopt = (declaredState: DeclaredState, { configuration }: EventOf<"configuration">): DeclaredState =>
    configuration.revision > revisionOf(declaredState)
        ? {
            ...declaredState,
            configuration,
            newestRevision: Math.max(declaredState.newestRevision, configuration.revision),
        }
        : declaredState;

/**
 * If the process is suspended between a query and its answer, its clock stands still, so the answer looks as fresh as
 * if no time had elapsed, and a key withdrawn in that time would continue to work. To prevent this, only answers to
 * queries sent after the last suspension confirm anything.
 */
const confirm = (
    declaredState: DeclaredState,
    { revision, asOf, stampedAt, by }: EventOf<"confirmed">,
): DeclaredState => {
    if (revision > revisionOf(declaredState)) {
        return { ...declaredState, newestRevision: Math.max(declaredState.newestRevision, revision) };
    }
    // A revision below this VM's own only shows that its sender is outdated.
    const isConfirmed = revision === revisionOf(declaredState) && stampedAt > declaredState.suspendedAt;
    return isConfirmed && asOf > declaredState.confirmedAt
        ? { ...declaredState, confirmedAt: asOf, confirmedBy: by }
        : declaredState;
};

/**
 * A VM that starts again reads the newest target from the store, but not when it was set. Taken for new, engines would
 * serve on weights replaced long ago. To prevent this, the earliest time known to any VM counts; it is never before the
 * target was set, as times are passed on as ages, which a delay or a suspension only makes smaller.
 */
const setTargetWeights = (
    declaredState: DeclaredState,
    { model, version, knownSince }: EventOf<"weights">,
    now: Millis,
): DeclaredState => {
    const before = declaredState.weights.get(model) ?? [];
    const since = Math.min(now, knownSince ?? now);
    const isKnown = before.some(target => target.version === version && target.knownSince <= since);
    const oldestKept = before[TARGET_HISTORY - 1]?.version ?? FIRST_VERSION;
    if (isKnown || version < oldestKept) {
        return declaredState;
    }
    const history = [...before.filter(target => target.version !== version), { version, knownSince: since }]
        .toSorted((a, b) => b.version - a.version)
        .slice(0, TARGET_HISTORY);
    return { ...declaredState, weights: new Map([...declaredState.weights, [model, history]]) };
};

/** Applies an event to the declared state of a VM. */
export function stepDeclaredState(declaredState: DeclaredState, event: DeclarationEvent, now: Millis): DeclaredState {
    switch (event.kind) {
        case "configuration":
            return adopt(declaredState, event);
        case "confirmed":
            return confirm(declaredState, event);
        case "weights":
            return setTargetWeights(declaredState, event, now);
        case "suspended":
            return { ...declaredState, confirmedAt: -Infinity, confirmedBy: undefined, suspendedAt: now };
    }
}
