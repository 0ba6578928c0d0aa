import type { EndpointName, Incarnation, Millis, PieceHash, Tokens } from "@azureshunt/core";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { DispatchNotice } from "./DispatchNotice.js";
import { packHashes } from "./packHashes.js";
import { unpackHashes } from "./unpackHashes.js";

const KIND = "dispatches";
/** Notices that come within this time go out together. */
const BATCH_MS = 4;
const TIMEOUT_MS = 500;
const Dispatches = z.object({ dispatches: z.array(DispatchNotice).default([]) });

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

/** Tells other daemons of dispatches. */
type DispatchSharing = {
    readonly announce: (work: SentWork) => void;
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
 * Shares dispatches with the other daemons. Best effort: a notice that is lost costs some accuracy of an estimate.
 *
 * @param heard called for each dispatch of another daemon
 */
export function shareDispatches(ctx: DaemonContext, heard: (work: SentWork) => void): DispatchSharing {
    const { clock, peers } = ctx;
    let batch: readonly SentWork[] = [];

    const flush = (): void => {
        const dispatches = batch.map(work => noticeOf(work, clock.now()));
        batch = [];
        peers.peers().forEach(peer => void peers.exchange(peer.vm, KIND, { dispatches }, TIMEOUT_MS));
    };
    const announce = (work: SentWork): void => {
        if (batch.length === 0) {
            setTimeout(flush, BATCH_MS);
        }
        batch = [...batch, work];
    };
    const unregister = peers.handle(KIND, body => {
        const parsed = Dispatches.safeParse(body);
        (parsed.data?.dispatches ?? []).forEach(notice => heard(workOf(notice, clock.now())));
        return Promise.resolve({});
    });
    return { announce, stop: unregister };
}
