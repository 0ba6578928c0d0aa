import type { RecordId } from "@azureshunt/core";
import { beginIntent, reopenIntent, withdrawIntent } from "@azureshunt/intent";
import type { OwnIntent } from "@azureshunt/intent";

import type { OwnIntents } from "./OwnIntents.js";

const isRunning = (own: OwnIntent): boolean => own.phase === "open" || own.phase === "begun";

/** Creates the table of this process's intents. */
export function createOwnIntents(): OwnIntents {
    const intents = new Map<RecordId, OwnIntent>();

    const replace = (next: OwnIntent | undefined): boolean => {
        if (next !== undefined) {
            intents.set(next.intentId, next);
        }
        return next !== undefined;
    };
    const change = (id: RecordId, rule: (own: OwnIntent) => OwnIntent | undefined): boolean => {
        const own = intents.get(id);
        return own !== undefined && replace(rule(own));
    };

    return {
        open: (intentId, key, fingerprint, now) =>
            void replace({ intentId, key, fingerprint, since: now, phase: "open", outcome: undefined }),
        running: key => [...intents.values()].find(own => own.key === key && isRunning(own)),
        begin: (id, now) => change(id, own => beginIntent(own, now)),
        reopen: id => void change(id, reopenIntent),
        withdraw: id => change(id, withdrawIntent),
        end: (id, outcome) => void change(id, own => ({ ...own, phase: "ended", outcome })),
        forget: id => void intents.delete(id),
        reply: id => {
            const own = intents.get(id);
            if (own === undefined) {
                return { phase: "absent", outcome: undefined };
            }
            switch (own.phase) {
                case "open":
                case "begun":
                    return { phase: "running", outcome: undefined };
                case "withdrawn":
                    return { phase: "withdrawn", outcome: undefined };
                case "ended":
                    return { phase: "ended", outcome: own.outcome };
            }
        },
    };
}
