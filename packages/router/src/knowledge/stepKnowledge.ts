import type { Millis } from "@azureshunt/core";

import type { Knowledge } from "./Knowledge.js";
import type { KnowledgeEvent } from "./KnowledgeEvent.js";

/** Versions of a model that are remembered: an engine that lags behind more of them is long overdue. */
const NAMED_VERSIONS = 8;

type EventOf<Kind extends KnowledgeEvent["kind"]> = Extract<KnowledgeEvent, { readonly kind: Kind; }>;

const revisionOf = (knowledge: Knowledge): number => knowledge.configuration?.revision ?? -1;

/**
 * Failure: a delayed read or a peer that lags hands over an older configuration, and a withdrawn key works again. Guard:
 * a process takes only revisions above the one that it has.
 */
const adopt = (knowledge: Knowledge, { configuration }: EventOf<"configuration">): Knowledge =>
    configuration.revision > revisionOf(knowledge)
        ? { ...knowledge, configuration, heardRevision: Math.max(knowledge.heardRevision, configuration.revision) }
        : knowledge;

/**
 * Failure: the process is suspended between its question and the answer. Its clock stood still meanwhile, so the answer
 * looks as new as if no time had passed, and a key that was withdrawn in that time works on. Guard: only what was asked
 * after the last pause confirms anything.
 */
const confirm = (knowledge: Knowledge, { revision, asOf, stampedAt }: EventOf<"confirmed">): Knowledge => {
    if (revision > revisionOf(knowledge)) {
        return { ...knowledge, heardRevision: Math.max(knowledge.heardRevision, revision) };
    }
    // A revision below this VM's own says only that its teller lags.
    return revision === revisionOf(knowledge) && stampedAt > knowledge.pausedAt
        ? { ...knowledge, confirmedAt: Math.max(knowledge.confirmedAt, asOf) }
        : knowledge;
};

const nameWeights = (knowledge: Knowledge, { model, version }: EventOf<"weights">, now: Millis): Knowledge => {
    const before = knowledge.weights.get(model) ?? [];
    if (version <= (before[0]?.version ?? 0)) {
        return knowledge;
    }
    const history = [{ version, learntAt: now }, ...before].slice(0, NAMED_VERSIONS);
    return { ...knowledge, weights: new Map([...knowledge.weights, [model, history]]) };
};

/** Applies one event to what a VM knows. */
export function stepKnowledge(knowledge: Knowledge, event: KnowledgeEvent, now: Millis): Knowledge {
    switch (event.kind) {
        case "configuration":
            return adopt(knowledge, event);
        case "confirmed":
            return confirm(knowledge, event);
        case "weights":
            return nameWeights(knowledge, event, now);
        case "paused":
            return { ...knowledge, confirmedAt: -Infinity, pausedAt: now };
    }
}
