import type { Clock, Millis } from "@azureshunt/core";

import type { StorePort } from "../ports/StorePort.js";

type Item = { readonly key: string; readonly value: Buffer | undefined; };

/** What is read of a topic. */
type TopicNews = {
    readonly records: readonly Item[];
    /** Whether these are the newest records of all keys, and not what came since the last read. */
    readonly isWhole: boolean;
    /** When the read was sent: what it gives is at least as new. */
    readonly askedAt: Millis;
};

type FollowParts = {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly topic: string;
    /** How long a read may wait for a record. */
    readonly waitMs: () => Millis;
    /** In how many milliseconds the next read is due; 0 or less means now. Asked again and again until then. */
    readonly dueInMs: () => Millis;
    readonly onNews: (news: TopicNews) => void;
    readonly onFailure: (kind: string) => void;
};

/**
 * A read may become due earlier than it was said to be; so long passes at most until that is seen. Short beside the time
 * for which a leaving endpoint still takes requests, and long enough to cost an idle VM little.
 */
const LOOK_AGAIN_MS = 250;
/** Between tries while the store does not answer; it is away for seconds, and keys wait for it. */
const RETRY_MS = 250;

/**
 * Follows a topic of the store: first the newest record of each key, then what comes. A reader whose place has fallen
 * off the topic's start begins anew with the newest records; nothing is skipped.
 *
 * @returns a function that ends it
 */
export function followTopic(parts: FollowParts): () => void {
    const { store, clock, topic } = parts;
    const state = {
        isStopped: false,
        isAnswering: true,
        next: undefined as number | undefined,
        timer: undefined as NodeJS.Timeout | undefined,
    };

    const readWhole = async (): Promise<Millis> => {
        const askedAt = clock.now();
        const page = await store.newest(topic);
        return page.caseOf({
            Left: failure => {
                parts.onFailure(failure.kind);
                return RETRY_MS;
            },
            Right: ({ records, end }) => {
                state.next = end;
                parts.onNews({ records, isWhole: true, askedAt });
                return 0;
            },
        });
    };
    const readOn = async (from: number): Promise<Millis> => {
        const askedAt = clock.now();
        // While the store does not answer, a read that waits would notice its return late, and keys would wait with it.
        const page = await store.read(topic, from, state.isAnswering ? parts.waitMs() : 0);
        state.isAnswering = page.isRight();
        return page.caseOf({
            Left: failure => {
                state.next = failure.kind === "expired" ? undefined : from;
                parts.onFailure(failure.kind);
                return failure.kind === "expired" ? 0 : RETRY_MS;
            },
            Right: ({ records, end }) => {
                state.next = Math.max(from, records.length === 0 ? end : (records.at(-1)?.offset ?? from) + 1);
                parts.onNews({ records, isWhole: false, askedAt });
                return 0;
            },
        });
    };
    const loop = async (): Promise<void> => {
        const dueIn = state.next === undefined ? 0 : parts.dueInMs();
        const pause = dueIn > 0
            ? Math.min(dueIn, LOOK_AGAIN_MS)
            : await (state.next === undefined ? readWhole() : readOn(state.next));
        if (!state.isStopped) {
            state.timer = setTimeout(() => void loop(), pause);
        }
    };
    void loop();
    return () => {
        state.isStopped = true;
        clearTimeout(state.timer);
    };
}
