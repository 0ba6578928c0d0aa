import type { Millis, Peer, VmId } from "@azureshunt/core";
import type { PeerAttempt, TunnelFailure } from "@azureshunt/reach";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Tunnel } from "./Tunnel.js";
import { tunnelTiming } from "./tunnelTiming.js";

/** One search for a peer that opens a connection to an endpoint. */
type PeerSearch = {
    /** Returns the peer to ask next; `undefined` if no further one should be asked. */
    readonly choose: (attempts: readonly PeerAttempt[]) => Peer | undefined;
    readonly request: (peer: Peer, signal: AbortSignal) => Promise<Either<TunnelFailure, Tunnel>>;
    /** Called when a peer opens the connection that is used, with the attempts at other peers. */
    readonly onOpened: (peer: Peer, others: readonly PeerAttempt[]) => void;
    /** Calls a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Ends the search. */
    readonly signal: AbortSignal;
};

/**
 * Returns why no peer opened a connection. An endpoint counts as one that refuses only if all peers that saw it fail say
 * so: those whose links are reset say the same.
 */
const failureOf = (attempts: readonly PeerAttempt[]): TunnelFailure => {
    const seen = attempts.filter(({ outcome }) => outcome === "endpoint-refused" || outcome === "endpoint-silent");
    if (seen.length === 0) {
        return "peer";
    }
    return seen.every(({ outcome }) => outcome === "endpoint-refused") ? "endpoint-refused" : "endpoint-silent";
};

/**
 * Asks peers for a connection: the next one as soon as one has failed or has not answered within its head start. The
 * first connection that opens is used.
 */
export function searchPeers(search: PeerSearch): Promise<Either<TunnelFailure, Tunnel>> {
    const controller = new AbortController();
    const attempts = new Map<VmId, PeerAttempt>();
    const state = { isSettled: false };
    const hasAny = (...outcomes: readonly PeerAttempt["outcome"][]): boolean =>
        [...attempts.values()].some(({ outcome }) => outcomes.includes(outcome));
    return new Promise(resolve => {
        const settle = (result: Either<TunnelFailure, Tunnel>): void => {
            state.isSettled = true;
            search.signal.removeEventListener("abort", onAbort);
            controller.abort();
            resolve(result);
        };
        const onAbort = (): void => settle(Left("peer"));
        const ask = (peer: Peer): void => {
            attempts.set(peer.vm, { peer, outcome: "pending" });
            const cancelHeadStart = search.schedule(tunnelTiming.peerHeadStartMs, () => {
                attempts.set(peer.vm, { peer, outcome: "late" });
                askNext();
            });
            void search.request(peer, controller.signal).then(answer => {
                cancelHeadStart();
                if (state.isSettled) {
                    answer.ifRight(({ socket }) => void socket.destroy());
                    return;
                }
                answer.caseOf({
                    Right: tunnel => {
                        attempts.delete(peer.vm);
                        search.onOpened(peer, [...attempts.values()]);
                        settle(Right(tunnel));
                    },
                    Left: outcome => {
                        attempts.set(peer.vm, { peer, outcome });
                        askNext();
                    },
                });
            });
        };
        const askNext = (): void => {
            if (state.isSettled || hasAny("pending")) {
                return;
            }
            const peer = search.choose([...attempts.values()]);
            if (peer !== undefined) {
                ask(peer);
            }
            else if (!hasAny("late")) {
                settle(Left(failureOf([...attempts.values()])));
            }
        };
        search.signal.addEventListener("abort", onAbort, { once: true });
        askNext();
    });
}
