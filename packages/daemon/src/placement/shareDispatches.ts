import type { Incarnation, Millis, PieceHash, Tokens } from "@azureshunt/core";
import { EndpointName } from "@azureshunt/core";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { DispatchNotice } from "./DispatchNotice.js";
import { packHashes } from "./packHashes.js";
import { unpackHashes } from "./unpackHashes.js";

const KIND = "dispatches";
/** Notices within this time are sent together. */
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

/** Callbacks for what other daemons send. */
type DispatchListener = {
    readonly onDispatch: (work: SentWork) => void;
    readonly onSpeed: (endpoint: EndpointName, msPerToken: number) => void;
};

/** Sends dispatches and observed speeds of endpoints to other daemons. */
type DispatchSharing = {
    readonly shareDispatch: (work: SentWork) => void;
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
 * Shares dispatches and observed speeds with the other daemons. Best effort: a lost notice only makes an estimate less
 * accurate.
 */
export function shareDispatches(ctx: DaemonContext, listener: DispatchListener): DispatchSharing {
    const { clock, peers } = ctx;
    let dispatches: readonly SentWork[] = [];
    let speeds: readonly z.infer<typeof SpeedNotice>[] = [];

    const flush = (): void => {
        const body = { dispatches: dispatches.map(work => noticeOf(work, clock.now())), speeds };
        dispatches = [];
        speeds = [];
        peers.peers().forEach(peer => void peers.exchange(peer.vm, KIND, body, TIMEOUT_MS));
    };
    const flushSoon = (): void => {
        if (dispatches.length + speeds.length === 0) {
            setTimeout(flush, BATCH_MS);
        }
    };
    const shareDispatch: DispatchSharing["shareDispatch"] = work => {
        flushSoon();
        dispatches = [...dispatches, work];
    };
    const shareSpeed: DispatchSharing["shareSpeed"] = (endpoint, msPerToken) => {
        flushSoon();
        speeds = [...speeds, { endpoint, nanosPerToken: Math.max(1, Math.round(msPerToken * NANOS_PER_MILLI)) }];
    };
    const unregister = peers.handle(KIND, body => {
        const parsed = Dispatches.safeParse(body);
        parsed.data?.dispatches.forEach(notice => listener.onDispatch(workOf(notice, clock.now())));
        parsed.data?.speeds.forEach(each => listener.onSpeed(each.endpoint, each.nanosPerToken / NANOS_PER_MILLI));
        return Promise.resolve({});
    });
    return { shareDispatch, shareSpeed, stop: unregister };
}
