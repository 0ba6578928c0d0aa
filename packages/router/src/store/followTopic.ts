import type { Clock, Millis } from "@azureshunt/core";

import type { StorePage } from "../ports/StorePage.js";
import type { StorePort } from "../ports/StorePort.js";
import { readUpTo } from "./readUpTo.js";
import type { StoreCallReason } from "./StoreCallReason.js";
import type { TopicAnswer } from "./TopicAnswer.js";

/** Result of one read of a topic. */
type TopicRead = {
    readonly records: StorePage["records"];
    /** Whether these are the newest records of all keys, rather than the records since the last read. */
    readonly isWhole: boolean;
    /**
     * All records read so far are at least as new as the store was at this time; `undefined` if the page ended before the
     * topic, so that they may be as old as its first unread record.
     */
    readonly asOf: Millis | undefined;
    /** The same as far as a read of the store shows it, rather than what peers have confirmed. */
    readonly readAsOf: Millis | undefined;
    /** When the read was sent, to the store or to a relay. */
    readonly requestedAt: Millis;
    /** The offset of the first record that has not been read. */
    readonly readTo: number;
    /** Whether a relay answered instead of the store. */
    readonly isRelayed: boolean;
};

/** A topic that is followed. */
type FollowedTopic = {
    /** Checks at once whether a read is due, instead of up to `RECHECK_MS` later. */
    readonly check: () => void;
    readonly stop: () => void;
};

type FollowTopicParts = {
    /** The store, as called for a reason. */
    readonly storeFor: (reason: StoreCallReason) => StorePort;
    readonly clock: Clock;
    readonly topic: string;
    /**
     * What is read after a page that ended before the topic: all further records, or the newest one of each key, which is
     * shorter if records are large.
     */
    readonly catchUp: "all" | "newest";
    /** How long a read may wait in the store for a record. */
    readonly waitMs: () => Millis;
    /** Time until the next read is due; 0 or less means now. Called repeatedly until then. */
    readonly dueInMs: () => Millis;
    /** Why a read after the first is due. */
    readonly reasonOfRead: () => StoreCallReason;
    /** Queries a relay from an offset on, or for all keys; `undefined` if there is no relay or it has no fresh copy. */
    readonly queryRelay: (from: number | undefined) => Promise<TopicAnswer | undefined>;
    /** Whether the first read must still wait, because a relay that can answer it may yet be found. */
    readonly mustWaitForRelay: () => boolean;
    /** Called before the first result of a topic that has begun anew: nothing that was read before is in it. */
    readonly onRestart: () => void;
    /** Called with the result of every successful read. */
    readonly onRead: (read: TopicRead) => void;
    /** Called with the kind of failure of every failed read from the store. */
    readonly onFailure: (kind: string) => void;
};

/**
 * Upper bound on the time until a read that became due earlier than announced is noticed. Short compared with the time
 * for which a leaving endpoint still takes requests, yet long enough to cost an idle VM little.
 */
const RECHECK_MS = 250;
/**
 * Delay between retries while the store does not answer. Outages last seconds, and requests with keys wait for its
 * return.
 */
const RETRY_MS = 250;
/** Time after a read that brought no records: the store or a relay may answer at once although it has none. */
const IDLE_MS = 20;

/**
 * Follows a topic of the store: first reads the newest record of each key, then the records appended after them. If the
 * next offset is no longer kept, the reader starts over with the newest record of each key, so that nothing is skipped.
 *
 * A page has a maximum size. If one that ended before the topic counted as all of it, a configuration from the middle of a
 * backlog would be taken for the newest. Such a page confirms nothing, and the rest is read at once.
 *
 * A store that has lost its records numbers them from 0 again. A reader that waits for its next offset would get empty pages,
 * and take what it knows for the newest. So a topic that ends before that offset is read anew, as one that has expired.
 */
export function followTopic(parts: FollowTopicParts): FollowedTopic {
    const { storeFor, clock, topic } = parts;
    const state = {
        isStopped: false,
        isStoreAnswering: true,
        next: undefined as number | undefined,
        /** Where the topic ended at least when it was last read. */
        end: 0,
        /** Whether the store ended before the next offset, which relays may not know yet. */
        mustReadStore: false,
        /** Whether the last page ended before the topic. */
        isBehind: false,
        /** Whether the last read brought records. */
        hasRead: false,
        timer: undefined as NodeJS.Timeout | undefined,
    };

    const readNewest = async (): Promise<Millis> => {
        const requestedAt = clock.now();
        const page = await storeFor(state.isStoreAnswering ? "first" : "retry").newest(topic);
        state.isStoreAnswering = page.isRight();
        return page.caseOf({
            Left: failure => {
                parts.onFailure(failure.kind);
                return RETRY_MS;
            },
            Right: ({ records, end }) => {
                if (end < state.end) {
                    parts.onRestart();
                }
                state.next = end;
                state.end = end;
                state.hasRead = records.length > 0;
                state.mustReadStore = false;
                state.isBehind = false;
                const [asOf, readAsOf, readTo] = [requestedAt, requestedAt, end];
                parts.onRead({ records, readTo, isWhole: true, requestedAt, asOf, readAsOf, isRelayed: false });
                return 0;
            },
        });
    };
    const readFrom = async (from: number): Promise<Millis> => {
        const requestedAt = clock.now();
        // While the store does not answer, a waiting read would notice its return late and delay requests with keys.
        const reason = state.isStoreAnswering ? parts.reasonOfRead() : "retry";
        const waitMs = state.isStoreAnswering && !state.isBehind ? parts.waitMs() : 0;
        const page = await storeFor(reason).read(topic, from, waitMs);
        // A store that does not keep the records any more answers.
        state.isStoreAnswering = page.caseOf({ Left: ({ kind }) => kind === "expired", Right: () => true });
        return page.caseOf({
            Left: failure => {
                state.next = failure.kind === "expired" ? undefined : from;
                parts.onFailure(failure.kind);
                return failure.kind === "expired" ? 0 : RETRY_MS;
            },
            Right: answered => {
                const { records, end } = answered;
                if (end < from) {
                    state.next = undefined;
                    state.mustReadStore = true;
                    return RETRY_MS;
                }
                const readTo = readUpTo(answered, from);
                state.hasRead = records.length > 0;
                state.end = end;
                state.isBehind = readTo < end;
                state.next = state.isBehind && (parts.catchUp === "newest" || readTo === from)
                    ? undefined
                    : Math.max(from, readTo);
                // The store answers as soon as there is a record. So if it waited to the end, there was none until then.
                const hasWaited = !state.hasRead && clock.now() - requestedAt >= waitMs;
                const currentAt = requestedAt + (hasWaited ? waitMs : 0);
                const asOf = state.isBehind ? undefined : currentAt;
                parts.onRead({ records, readTo, isWhole: false, requestedAt, asOf, readAsOf: asOf, isRelayed: false });
                return 0;
            },
        });
    };
    /**
     * Reads from a relay if one has a fresh copy. When hundreds of VMs start or learn of the same change, each would
     * read it from the store, although a relay has read it already. The records are as old as the relay says, measured
     * from the time of the request. Returns false if the store has to be read.
     */
    const readFromRelay = async (): Promise<boolean> => {
        const requestedAt = clock.now();
        const answer = await parts.queryRelay(state.next);
        if (answer === undefined || state.isStopped) {
            return false;
        }
        state.next = Math.max(state.next ?? 0, answer.end);
        state.end = Math.max(state.end, answer.end);
        state.isBehind = false;
        const { records, end, isWhole, ageMs, readAgeMs } = answer;
        state.hasRead = records.length > 0;
        const [asOf, readAsOf] = [requestedAt - ageMs, requestedAt - readAgeMs];
        parts.onRead({ records, readTo: end, isWhole, requestedAt, asOf, readAsOf, isRelayed: true });
        return true;
    };
    const readNext = async (): Promise<Millis> => {
        if (!state.mustReadStore && await readFromRelay()) {
            return 0;
        }
        return state.next === undefined ? readNewest() : readFrom(state.next);
    };
    const readOnce = async (): Promise<Millis> => {
        state.hasRead = false;
        const delayMs = await readNext();
        return state.hasRead ? delayMs : Math.max(delayMs, IDLE_MS);
    };
    const loop = async (): Promise<void> => {
        state.timer = undefined;
        const firstDueInMs = parts.mustWaitForRelay() ? RECHECK_MS : 0;
        const dueInMs = state.isBehind ? 0 : state.next === undefined ? firstDueInMs : parts.dueInMs();
        const delayMs = dueInMs > 0 ? Math.min(dueInMs, RECHECK_MS) : await readOnce();
        if (!state.isStopped) {
            state.timer = setTimeout(() => void loop(), delayMs);
        }
    };
    void loop();
    return {
        check: () => {
            // Without a timer, a read is running, after which the loop checks anyway.
            if (state.timer !== undefined) {
                clearTimeout(state.timer);
                void loop();
            }
        },
        stop: () => {
            state.isStopped = true;
            clearTimeout(state.timer);
            state.timer = undefined;
        },
    };
}
