import type { Millis } from "@azureshunt/core";

import type { DeclarationEvent } from "./DeclarationEvent.js";
import type { Knowledge } from "./Knowledge.js";

/** Target versions of a model that are remembered: an engine more versions behind is long overdue. */
const TARGET_HISTORY = 8;

type EventOf<Kind extends DeclarationEvent["kind"]> = Extract<DeclarationEvent, { readonly kind: Kind; }>;

const revisionOf = (knowledge: Knowledge): number => knowledge.configuration?.revision ?? -1;

/**
 * If a delayed read or an outdated peer delivers an older configuration, a withdrawn key would work again. To prevent
 * this, a process accepts only revisions above its own.
 */
const adopt = (knowledge: Knowledge, { configuration }: EventOf<"configuration">): Knowledge =>
    configuration.revision > revisionOf(knowledge)
        ? { ...knowledge, configuration, heardRevision: Math.max(knowledge.heardRevision, configuration.revision) }
        : knowledge;

/**
 * If the process is suspended between a query and its answer, its clock stands still, so the answer looks as fresh as
 * if no time had elapsed, and a key withdrawn in that time would continue to work. To prevent this, only answers to
 * queries sent after the last suspension confirm anything.
 */
const confirm = (knowledge: Knowledge, { revision, asOf, stampedAt }: EventOf<"confirmed">): Knowledge => {
    if (revision > revisionOf(knowledge)) {
        return { ...knowledge, heardRevision: Math.max(knowledge.heardRevision, revision) };
    }
    // A revision below this VM's own only shows that its sender is outdated.
    return revision === revisionOf(knowledge) && stampedAt > knowledge.suspendedAt
        ? { ...knowledge, confirmedAt: Math.max(knowledge.confirmedAt, asOf) }
        : knowledge;
};

const setTargetWeights = (knowledge: Knowledge, { model, version }: EventOf<"weights">, now: Millis): Knowledge => {
    const before = knowledge.weights.get(model) ?? [];
    if (version <= (before[0]?.version ?? 0)) {
        return knowledge;
    }
    const history = [{ version, learntAt: now }, ...before].slice(0, TARGET_HISTORY);
    return { ...knowledge, weights: new Map([...knowledge.weights, [model, history]]) };
};

/** Applies an event to the declared state of a VM. */
export function stepKnowledge(knowledge: Knowledge, event: DeclarationEvent, now: Millis): Knowledge {
    switch (event.kind) {
        case "configuration":
            return adopt(knowledge, event);
        case "confirmed":
            return confirm(knowledge, event);
        case "weights":
            return setTargetWeights(knowledge, event, now);
        case "suspended":
            return { ...knowledge, confirmedAt: -Infinity, suspendedAt: now };
    }
}
