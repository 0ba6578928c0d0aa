import type { EndpointName, Millis } from "@azureshunt/core";
import type { Candidate, EndpointState, Policy, PrefixIndex } from "@azureshunt/endpoint";
import { candidatesOf, policyOf } from "@azureshunt/endpoint";

import type { Call } from "../ports/Call.js";
import type { ComputingPieces } from "./ComputingPieces.js";
import type { EndpointTable } from "./EndpointTable.js";
import type { FetchCost } from "./FetchCost.js";

/** Most work queued at an engine, in milliseconds; the rest waits in this daemon, where the fair queue orders it. */
const MAX_ENGINE_QUEUE_MS = 100;

/** Dependencies of a `Chooser`. */
type ChooserParts = {
    readonly endpointTable: EndpointTable;
    readonly index: PrefixIndex;
    readonly computing: ComputingPieces;
    readonly fetches: FetchCost;
    readonly policy: Policy;
    /**
     * Whether calls are queued in this daemon while engines are full; the baseline policies dispatch all calls at once.
     */
    readonly isQueueing: boolean;
    readonly random: () => number;
    /** Whether a call may run at an endpoint beside the calls that run there. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
};

/** The endpoint chosen for a call now, and whether the call should start there at once. */
type Choice = {
    readonly chosen: Candidate;
    readonly candidates: readonly Candidate[];
    readonly startsNow: boolean;
};

/** Chooses endpoints by their current state. */
export class Chooser {
    readonly #parts: ChooserParts;
    #turn = 0;

    constructor(parts: ChooserParts) {
        this.#parts = parts;
    }

    /** Counts a choice that was used, for policies that choose in rotation. */
    countChoice(): void {
        this.#turn++;
    }

    /**
     * Chooses an endpoint.
     *
     * @param tried endpoints that failed this call, chosen again only if no other is eligible
     * @returns undefined if no endpoint may run the call
     */
    choose(call: Call, tried: readonly EndpointName[], now: Millis): Choice | undefined {
        const candidates = this.#candidates(call, this.#endpointsFor(call, tried), now);
        const pieces = call.target.kind === "model" ? call.target.pieces : [];
        const policy = call.target.kind === "model" ? this.#parts.policy : policyOf("least-loaded");
        const chosen = policy({ pieces, turn: this.#turn, random: this.#parts.random() }, candidates);
        return chosen === undefined
            ? undefined
            : { chosen, candidates, startsNow: this.#startsNow(call, chosen, now) };
    }

    #endpointsFor(call: Call, tried: readonly EndpointName[]): readonly EndpointState[] {
        const eligible = this.#parts.endpointTable.eligibleFor(call).filter(each =>
            this.#parts.mayShare(call, each.name)
        );
        const untried = eligible.filter(each => !tried.includes(each.name));
        return untried.length > 0 ? untried : eligible;
    }

    #candidates(call: Call, endpoints: readonly EndpointState[], now: Millis): readonly Candidate[] {
        const { target } = call;
        if (target.kind === "service") {
            const none = { matched: [], confirmed: [], fetchMsPerPiece: undefined };
            return candidatesOf({ endpoints, ...none, promptTokens: 0, pieceTokens: 1, now });
        }
        const { index, isQueueing, fetches } = this.#parts;
        const names = endpoints.map(each => each.name);
        return candidatesOf({
            endpoints,
            matched: index.match(target.pieces, names, now),
            confirmed: isQueueing ? index.matchConfirmed(target.pieces, names) : [],
            fetchMsPerPiece: isQueueing ? fetches.msPerPiece(now) : undefined,
            promptTokens: target.promptTokens,
            pieceTokens: target.pieceTokens,
            now,
        });
    }

    #startsNow(call: Call, chosen: Candidate, now: Millis): boolean {
        if (call.target.kind === "service" || !this.#parts.isQueueing) {
            return true;
        }
        return chosen.estimate.wait <= MAX_ENGINE_QUEUE_MS && !this.#waitsForPieces(call, chosen, now);
    }

    /**
     * Whether the endpoint is still computing pieces that this call is expected to find cached. A call sent now would
     * make the engine compute them again. A call sent when they are cached starts no later, and the engine's time goes
     * to other calls.
     */
    #waitsForPieces(call: Call, chosen: Candidate, now: Millis): boolean {
        const { computing, index } = this.#parts;
        const expected = call.target.kind === "model" ? call.target.pieces.slice(0, chosen.matchedPieces) : [];
        const beingComputed = computing.computingAt(expected, chosen.endpoint, now);
        return beingComputed.length > 0 && !index.isConfirmed(beingComputed, chosen.endpoint);
    }
}
