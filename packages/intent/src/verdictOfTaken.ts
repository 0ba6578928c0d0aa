import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { IntentEntry } from "./IntentEntry.js";
import type { OwnerReply } from "./OwnerReply.js";
import type { TakenVerdict } from "./TakenVerdict.js";

const UNKNOWN: TakenVerdict = { kind: "ended", outcome: { kind: "unknown" } };

/**
 * Decides what to tell a request whose key another intent holds. It never lets the request run: only the owner's record
 * of withdrawal does, as an owner that cannot be reached may be about to send.
 *
 * @param entry the intent that holds the key
 * @param reply what its VM says; undefined when it gave no answer
 * @param isListed whether its VM is a member; a VM that has just started is none yet
 * @param lastAt the log's time of the newest record read
 */
export function verdictOfTaken(
    entry: IntentEntry,
    reply: OwnerReply | undefined,
    isListed: boolean,
    lastAt: number,
): TakenVerdict {
    if (reply === undefined) {
        const bound = isListed ? INTENT_LIMITS.runningMs : INTENT_LIMITS.unlistedMs;
        return lastAt - entry.at > bound ? UNKNOWN : { kind: "running" };
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
