import type { Incarnation, Millis, PieceHash, Tokens } from "@azureshunt/core";
import { EndpointName } from "@azureshunt/core";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { DispatchNotice } from "./DispatchNotice.js";
import { packHashes } from "./packHashes.js";
import { unpackHashes } from "./unpackHashes.js";

const KIND = "dispatches";
/** Notices that come within this time go out together. */
const BATCH_MS = 4;
const TIMEOUT_MS = 500;
const NANOS_PER_MILLI = 1_000_000;
const SpeedNotice = z.object({ endpoint: EndpointName, nanosPerToken: z.number().int().positive() });
const Dispatches = z.object({
    dispatches: z.array(DispatchNotice).default([]),
    speeds: z.array(SpeedNotice).default([]),
});

/** Work sent to an endpoint. */
type SentWork = {
    readonly endpoint: EndpointName;
    readonly incarnation: Incarnation;
    readonly prefillTokens: Tokens;
    /** Pieces that the endpoint computes. */
    readonly pieces: readonly PieceHash[];
    readonly sentAt: Millis;
    /** Milliseconds from sending to the first token. */
    readonly expectedMs: Millis;
};

/** What is heard from other daemons. */
type SharingListener = {
    readonly dispatched: (work: SentWork) => void;
    readonly observed: (endpoint: EndpointName, msPerToken: number) => void;
};

/** Tells other daemons of dispatches and of the speed of endpoints. */
type DispatchSharing = {
    readonly announce: (work: SentWork) => void;
    readonly shareSpeed: (endpoint: EndpointName, msPerToken: number) => void;
    readonly stop: () => void;
};

const noticeOf = (work: SentWork, now: Millis): DispatchNotice => ({
    endpoint: work.endpoint,
    incarnation: work.incarnation,
    prefillTokens: Math.round(work.prefillTokens),
    pieces: packHashes(work.pieces),
    sentMsAgo: Math.round(now - work.sentAt),
    expectedMs: Math.round(work.expectedMs),
});

const workOf = (notice: DispatchNotice, now: Millis): SentWork => ({
    endpoint: notice.endpoint,
    incarnation: notice.incarnation,
    prefillTokens: notice.prefillTokens,
    pieces: unpackHashes(notice.pieces),
    sentAt: now - notice.sentMsAgo,
    expectedMs: notice.expectedMs,
});

/**
 * Shares dispatches and observed speeds with the other daemons. Best effort: a notice that is lost costs some accuracy
 * of an estimate.
 */
export function shareDispatches(ctx: DaemonContext, listener: SharingListener): DispatchSharing {
    const { clock, peers } = ctx;
    let batch: readonly SentWork[] = [];
    let speeds: readonly z.infer<typeof SpeedNotice>[] = [];

    const flush = (): void => {
        const body = { dispatches: batch.map(work => noticeOf(work, clock.now())), speeds };
        batch = [];
        speeds = [];
        peers.peers().forEach(peer => void peers.exchange(peer.vm, KIND, body, TIMEOUT_MS));
    };
    const flushSoon = (): void => {
        if (batch.length + speeds.length === 0) {
            setTimeout(flush, BATCH_MS);
        }
    };
    const announce: DispatchSharing["announce"] = work => {
        flushSoon();
        batch = [...batch, work];
    };
    const shareSpeed: DispatchSharing["shareSpeed"] = (endpoint, msPerToken) => {
        flushSoon();
        speeds = [...speeds, { endpoint, nanosPerToken: Math.max(1, Math.round(msPerToken * NANOS_PER_MILLI)) }];
    };
    const unregister = peers.handle(KIND, body => {
        const parsed = Dispatches.safeParse(body);
        parsed.data?.dispatches.forEach(notice => listener.dispatched(workOf(notice, clock.now())));
        parsed.data?.speeds.forEach(each => listener.observed(each.endpoint, each.nanosPerToken / NANOS_PER_MILLI));
        return Promise.resolve({});
    });
    return { announce, shareSpeed, stop: unregister };
}
