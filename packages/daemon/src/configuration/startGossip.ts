import type { Millis, VmId } from "@azureshunt/core";
import { snapshotRecord, stateOfSnapshot } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stoppable } from "../Stoppable.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipOf } from "./gossipOf.js";
import { needsPeers } from "./needsPeers.js";
import type { ReaderEvent } from "./ReaderEvent.js";
import type { ReaderState } from "./ReaderState.js";

const INTERVAL_MS = 1_000;
const FANOUT = 3;
const START_FANOUT = 5;
const TIMEOUT_MS = 900;

/** Dependencies of `startGossip`. */
type GossipParts = {
    readonly ctx: Omit<DaemonContext, "release">;
    readonly state: () => ReaderState;
    readonly apply: (event: ReaderEvent) => void;
};

const parsed = (text: string): unknown => {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
};

/**
 * Sends this daemon's revision to a few random peers every second and adopts newer states from their answers.
 *
 * If a failure domain loses its connection to the platform while a key is withdrawn elsewhere, its daemons would still
 * accept the key. To prevent this, a daemon that can reach a peer with the withdrawal pulls the state from that peer.
 * Only the log can confirm that a revision is the newest, so daemons that are disconnected together cannot confirm it
 * to each other.
 *
 * @returns with `firstRound`, which resolves when the peers queried at the start have answered or timed out
 */
export function startGossip(parts: GossipParts): Stoppable & { readonly firstRound: Promise<void>; } {
    const { ctx, state, apply } = parts;
    const { peers, clock, random, metrics } = ctx;
    const logger = ctx.logger("configuration");
    const querying = new Set<VmId>();

    const applyMessage = (from: VmId, message: GossipMessage, requestedAt: Millis): void => {
        const { configuration, digest } = state().fold;
        if (message.snapshot !== undefined && message.snapshot !== "") {
            const fold = stateOfSnapshot(parsed(message.snapshot));
            (fold === undefined ? [] : [fold]).forEach(each => apply({ kind: "pulled", fold: each }));
        }
        if (message.confirmedWithinMs > 0) {
            const at = requestedAt - message.confirmedWithinMs;
            apply({ kind: "confirmed", revision: message.revision, digest: message.digest, at });
        }
        if (message.revision === configuration.revision && message.digest !== digest) {
            metrics.count("azureshunt_configuration_divergence_total", "Peers that differ at the same revision");
            logger.error(
                { peer: from, revision: message.revision },
                "A peer has another configuration digest at the same revision.",
            );
        }
    };

    const query = async (to: VmId): Promise<void> => {
        if (querying.has(to)) {
            return;
        }
        querying.add(to);
        const requestedAt = clock.now();
        const answer = await peers.exchange(to, "gossip", gossipOf(state(), requestedAt), TIMEOUT_MS);
        querying.delete(to);
        answer.ifRight(body => applyMessage(to, body as GossipMessage, requestedAt));
    };

    const randomPeers = (count: number): readonly VmId[] =>
        peers.peers()
            .map(peer => ({ vm: peer.vm, rank: random() }))
            .sort((a, b) => a.rank - b.rank)
            .slice(0, count)
            .map(entry => entry.vm);

    const unregister = peers.handle("gossip", (body, from) => {
        const received = body as GossipMessage;
        const now = clock.now();
        const own = state();
        const { revision } = own.fold.configuration;
        if (received.revision > revision && needsPeers(own, now)) {
            void query(from);
        }
        // The transit time of the message is unknown, but at most the time that its sender waits for an answer.
        applyMessage(from, { ...received, snapshot: "" }, now - TIMEOUT_MS);
        const sendsSnapshot = received.wantsSnapshot === true && received.offset < own.fold.offset
            && received.revision <= revision;
        const snapshot = sendsSnapshot ? JSON.stringify(snapshotRecord(own.fold)) : "";
        return Promise.resolve({ ...gossipOf(own, now), snapshot });
    });

    const round = (count: number): Promise<void> => Promise.all(randomPeers(count).map(query)).then(() => undefined);
    const timer = setInterval(() => void round(FANOUT), INTERVAL_MS);
    const stop = (): void => {
        clearInterval(timer);
        unregister();
    };
    return { stop, firstRound: round(START_FANOUT) };
}
