import { setTimeout as sleep } from "node:timers/promises";

import type { VmId } from "@azureshunt/core";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { SuspectTimes } from "./SuspectTimes.js";
import { waitAtMost } from "./waitAtMost.js";

/** Tells other VMs what they must not miss. */
type Teller = {
    /**
     * Tells all peers, each until it has answered, is gone, or nothing is left to tell.
     *
     * @param body makes the message anew for each telling; undefined once it is out of date
     */
    readonly tell: (kind: string, body: () => object | undefined) => void;
    /** Settles when all that is being told has been taken in, or after a bound. */
    readonly told: () => Promise<void>;
    readonly stop: () => void;
};

/**
 * Starts what tells peers of deaths and quarantines.
 *
 * Failure: a VM is too busy to answer within the bound, never learns of a quarantine, and runs the request on one more
 * endpoint. Guard: it is told again until it answers.
 */
export function createTeller({ peers, clock }: DaemonContext, times: SuspectTimes): Teller {
    const telling = new Set<Promise<void>>();
    const stopped = new AbortController();

    const tellOne = async (vm: VmId, kind: string, body: () => object | undefined, until: number): Promise<void> => {
        const message = body();
        const isKnown = peers.peers().some(peer => peer.vm === vm);
        if (message === undefined || !isKnown || clock.now() > until || stopped.signal.aborted) {
            return;
        }
        const answer = await peers.exchange(vm, kind, message, times.tellBoundMs);
        if (answer.isLeft()) {
            await sleep(times.tellAgainMs, undefined, { ref: false });
            return tellOne(vm, kind, body, until);
        }
    };

    const tell: Teller["tell"] = (kind, body) => {
        const until = clock.now() + times.tellForMs;
        const all = Promise.all(peers.peers().map(peer => tellOne(peer.vm, kind, body, until))).then(() => undefined);
        telling.add(all);
        void all.finally(() => telling.delete(all));
    };
    const told: Teller["told"] = () => waitAtMost(Promise.all(telling), times.toldBoundMs);
    return { tell, told, stop: () => stopped.abort() };
}
