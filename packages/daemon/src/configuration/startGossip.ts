import type { Millis, VmId } from "@azureshunt/core";
import { snapshotRecord, stateOfSnapshot } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stopping } from "../Stopping.js";
import type { GossipMessage } from "./GossipMessage.js";
import { gossipOf } from "./gossipOf.js";
import { needsPeers } from "./needsPeers.js";
import type { ReaderEvent } from "./ReaderEvent.js";
import type { ReaderState } from "./ReaderState.js";

const INTERVAL_MS = 1_000;
const FANOUT = 3;
const START_FANOUT = 5;
const TIMEOUT_MS = 900;

/** What gossip works on. */
type GossipParts = {
    readonly ctx: Omit<DaemonContext, "release">;
    readonly state: () => ReaderState;
    readonly tell: (event: ReaderEvent) => void;
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
 * Tells a few peers each second which revision is served here and takes over what they know beyond it.
 *
 * Failure: a failure domain is cut off from the platform while a key is withdrawn elsewhere; its daemons would serve
 * the key on. The guard: whoever is still reached by one daemon that knows the withdrawal pulls it from that daemon.
 * Only what the log confirmed counts as confirmation, so daemons that are cut off together do not vouch for each other.
 */
export function startGossip(parts: GossipParts): Stopping & { readonly askedAll: Promise<void>; } {
    const { ctx, state, tell } = parts;
    const { peers, clock, random, metrics } = ctx;
    const logger = ctx.logger("configuration");
    const pulling = new Set<VmId>();

    const learn = (from: VmId, message: GossipMessage, askedAt: Millis): void => {
        const { configuration, digest } = state().fold;
        if (message.snapshot !== undefined && message.snapshot !== "") {
            const fold = stateOfSnapshot(parsed(message.snapshot));
            (fold === undefined ? [] : [fold]).forEach(each => tell({ kind: "pulled", fold: each }));
        }
        if (message.confirmedWithinMs > 0) {
            const at = askedAt - message.confirmedWithinMs;
            tell({ kind: "confirmed", revision: message.revision, digest: message.digest, at });
        }
        if (message.revision === configuration.revision && message.digest !== digest) {
            metrics.count("azureshunt_configuration_divergence_total", "Peers that differ at the same revision");
            logger.error({ peer: from, revision: message.revision }, "A peer differs at the same revision.");
        }
    };

    const ask = async (to: VmId): Promise<void> => {
        if (pulling.has(to)) {
            return;
        }
        pulling.add(to);
        const askedAt = clock.now();
        const answer = await peers.exchange(to, "gossip", gossipOf(state(), askedAt), TIMEOUT_MS);
        pulling.delete(to);
        answer.ifRight(body => learn(to, body as GossipMessage, askedAt));
    };

    const someOf = (count: number): readonly VmId[] =>
        peers.peers()
            .map(peer => ({ vm: peer.vm, rank: random() }))
            .sort((a, b) => a.rank - b.rank)
            .slice(0, count)
            .map(entry => entry.vm);

    const forget = peers.handle("gossip", (body, from) => {
        const heard = body as GossipMessage;
        const now = clock.now();
        const own = state();
        const { revision } = own.fold.configuration;
        if (heard.revision > revision && needsPeers(own, now)) {
            void ask(from);
        }
        // How long the message was on its way is not known, but no more than the asker waits for an answer.
        learn(from, { ...heard, snapshot: "" }, now - TIMEOUT_MS);
        const isHelped = heard.wantsSnapshot === true && heard.offset < own.fold.offset && heard.revision <= revision;
        const snapshot = isHelped ? JSON.stringify(snapshotRecord(own.fold)) : "";
        return Promise.resolve({ ...gossipOf(own, now), snapshot });
    });

    const round = (count: number): Promise<void> => Promise.all(someOf(count).map(ask)).then(() => undefined);
    const timer = setInterval(() => void round(FANOUT), INTERVAL_MS);
    const stop = (): void => {
        clearInterval(timer);
        forget();
    };
    return { stop, askedAll: round(START_FANOUT) };
}
