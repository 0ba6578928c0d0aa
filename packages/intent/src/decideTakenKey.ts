import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { IntentEntry } from "./IntentEntry.js";
import type { OwnerReply } from "./OwnerReply.js";
import type { TakenKeyDecision } from "./TakenKeyDecision.js";

const UNKNOWN: TakenKeyDecision = { kind: "ended", outcome: { kind: "unknown" } };

/**
 * Decides how to answer a request whose key another intent owns. The request never runs because of this decision: an
 * owner that cannot be reached may be about to send, so only its own record of withdrawal frees the key.
 *
 * @param entry the intent that owns the key
 * @param reply reply of the owner's VM; `undefined` if there was none
 * @param isListed whether the owner's VM is a listed member; a VM that has just started is not yet
 * @param lastAt the log's timestamp of the newest record read
 */
export function decideTakenKey(
    entry: IntentEntry,
    reply: OwnerReply | undefined,
    isListed: boolean,
    lastAt: number,
): TakenKeyDecision {
    if (reply === undefined) {
        const maxAgeMs = isListed ? INTENT_LIMITS.maxRunningMs : INTENT_LIMITS.unlistedOwnerMs;
        return lastAt - entry.at > maxAgeMs ? UNKNOWN : { kind: "running" };
    }
    if (reply.incarnation !== entry.incarnation || reply.phase === "absent") {
        return UNKNOWN;
    }
    switch (reply.phase) {
        case "running":
            return { kind: "running" };
        case "withdrawn":
            return { kind: "retry" };
        case "ended":
            return reply.outcome === undefined ? UNKNOWN : { kind: "ended", outcome: reply.outcome };
    }
}
