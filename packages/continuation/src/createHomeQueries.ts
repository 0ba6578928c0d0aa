import type { Clock, FailureDomain, Millis, Peer } from "@azureshunt/core";

import { knowledgeJson } from "./knowledgeJson.js";
import type { StatedOrigin } from "./StatedOrigin.js";
import { streamHomes } from "./streamHomes.js";
import type { StreamId } from "./StreamId.js";
import type { StreamKnowledge } from "./StreamKnowledge.js";
import { streamQuery } from "./streamQuery.js";

type HomeQueriesParts = {
    readonly clock: Clock;
    readonly failureDomain: FailureDomain;
    /** Peers that are alive. */
    readonly peers: () => readonly Peer[];
    /** Makes a call to a peer; resolves with `undefined` if it has no answer in time. */
    readonly ask: (address: string, query: string) => Promise<Buffer | undefined>;
    readonly onOrigin: (stated: StatedOrigin) => void;
    readonly onHistories: (askedAt: Millis, histories: StreamKnowledge["histories"]) => void;
};

/** Queries for what peers know of streams. */
type HomeQueries = {
    /** Asks the homes of a stream; resolves as soon as one knows it, otherwise once all have answered. */
    readonly askHomes: (id: StreamId | undefined) => Promise<Pick<StreamKnowledge, "origin" | "isCurrent">>;
    /** Asks one peer for the versions that it has seen; each time another peer. */
    readonly askForHistories: () => void;
};

/** Peers that are asked in a large fleet: more than are told, as VMs may know different peers. */
const ASKED_HOMES = 3;

/** Creates the queries of a VM. */
export function createHomeQueries(parts: HomeQueriesParts): HomeQueries {
    const state = { asks: 0 };
    const askPeer = async ({ address }: Peer, id: StreamId | undefined): Promise<StreamKnowledge | undefined> => {
        const askedAt = parts.clock.now();
        const body = await parts.ask(address, streamQuery.encode(id));
        const answer = body && knowledgeJson.decode(body);
        if (answer !== undefined) {
            parts.onHistories(askedAt, answer.histories);
        }
        if (answer?.origin !== undefined) {
            parts.onOrigin(answer.origin);
        }
        return answer;
    };
    return {
        askHomes: async id => {
            const peers = parts.peers();
            const homes = id === undefined
                ? peers.slice(0, ASKED_HOMES)
                : streamHomes(id, peers, parts.failureDomain, ASKED_HOMES);
            const answers = homes.map(home => askPeer(home, id));
            const origin = await Promise.any(
                answers.map(async answer => (await answer)?.origin ?? Promise.reject(new Error("not known"))),
            ).catch(() => undefined);
            const isAnyCurrent = async (): Promise<boolean> =>
                (await Promise.all(answers)).some(answer => answer?.isCurrent === true);
            return { origin, isCurrent: origin === undefined && await isAnyCurrent() };
        },
        askForHistories: () => {
            const peers = parts.peers();
            // One after the other, as a peer may have started lately too.
            const peer = peers[state.asks % Math.max(1, peers.length)];
            state.asks += 1;
            if (peer !== undefined) {
                void askPeer(peer, undefined);
            }
        },
    };
}
