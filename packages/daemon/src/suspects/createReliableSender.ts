import { setTimeout as sleep } from "node:timers/promises";

import type { VmId } from "@azureshunt/core";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { waitAtMost } from "./waitAtMost.js";

/** Sends messages that no peer may miss. */
type ReliableSender = {
    /**
     * Sends a message to all peers, and resends it to each until that peer has acknowledged it, is no longer a peer, or
     * the message is outdated.
     *
     * @param body creates the message for each sending; undefined once it is outdated
     */
    readonly send: (kind: string, body: () => object | undefined) => void;
    /**
     * Settles when all messages under way are acknowledged or given up, but after `maxAcknowledgeWaitMs` at the latest.
     */
    readonly allAcknowledged: () => Promise<void>;
    readonly stop: () => void;
};

/**
 * Creates the sender for deaths and quarantines.
 *
 * If a VM is too busy to answer within the timeout, it does not learn of a quarantine and runs the request on one more
 * endpoint. To prevent this, the message is resent until the VM answers.
 */
export function createReliableSender({ peers, clock }: DaemonContext, times: SuspectTimes): ReliableSender {
    const pending = new Set<Promise<void>>();
    const stopped = new AbortController();

    const sendTo = async (vm: VmId, kind: string, body: () => object | undefined, until: number): Promise<void> => {
        const message = body();
        const isKnown = peers.peers().some(peer => peer.vm === vm);
        if (message === undefined || !isKnown || clock.now() > until || stopped.signal.aborted) {
            return;
        }
        const answer = await peers.exchange(vm, kind, message, times.sendTimeoutMs);
        if (answer.isLeft()) {
            await sleep(times.sendAgainMs, undefined, { ref: false });
            return sendTo(vm, kind, body, until);
        }
    };

    const send: ReliableSender["send"] = (kind, body) => {
        const until = clock.now() + times.sendForMs;
        const all = Promise.all(peers.peers().map(peer => sendTo(peer.vm, kind, body, until))).then(() => undefined);
        pending.add(all);
        void all.finally(() => pending.delete(all));
    };
    const allAcknowledged: ReliableSender["allAcknowledged"] = () =>
        waitAtMost(Promise.all(pending), times.maxAcknowledgeWaitMs);
    return { send, allAcknowledged, stop: () => stopped.abort() };
}
