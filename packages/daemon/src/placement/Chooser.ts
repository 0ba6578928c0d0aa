import type { EndpointName, Millis } from "@azureshunt/core";
import type { Candidate, EndpointState, Policy, PrefixIndex } from "@azureshunt/endpoint";
import { candidatesOf, policyOf } from "@azureshunt/endpoint";

import type { Call } from "../ports/Call.js";
import type { ComputingPieces } from "./ComputingPieces.js";
import type { EndpointBook } from "./EndpointBook.js";
import type { FetchCost } from "./FetchCost.js";

/** Milliseconds of work that an engine is given ahead; more waits here, where the fair queue orders it. */
const MAX_ENGINE_QUEUE_MS = 100;

/** What a chooser needs. */
type ChooserParts = {
    readonly book: EndpointBook;
    readonly index: PrefixIndex;
    readonly computing: ComputingPieces;
    readonly fetches: FetchCost;
    readonly policy: Policy;
    /** Whether work is held here while engines are full; the baselines pass everything on at once. */
    readonly holds: boolean;
    readonly random: () => number;
    /** Whether a call may run beside what runs at an endpoint. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
};

/** The endpoint chosen for a call now, and whether the call should start there at once. */
type Choice = {
    readonly chosen: Candidate;
    readonly candidates: readonly Candidate[];
    readonly startsNow: boolean;
};

/** Chooses endpoints from the state as it is now. */
export class Chooser {
    readonly #parts: ChooserParts;
    #turn = 0;

    constructor(parts: ChooserParts) {
        this.#parts = parts;
    }

    /** Counts a choice that was put into effect. */
    took(): void {
        this.#turn++;
    }

    /** Chooses an endpoint; undefined when none may run the call. */
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
        const eligible = this.#parts.book.eligibleFor(call).filter(each => this.#parts.mayShare(call, each.name));
        const fresh = eligible.filter(each => !tried.includes(each.name));
        return fresh.length > 0 ? fresh : eligible;
    }

    #candidates(call: Call, endpoints: readonly EndpointState[], now: Millis): readonly Candidate[] {
        const { target } = call;
        if (target.kind === "service") {
            const none = { matched: [], confirmed: [], fetchMsPerPiece: undefined };
            return candidatesOf({ endpoints, ...none, promptTokens: 0, pieceTokens: 1, now });
        }
        const { index, holds, fetches } = this.#parts;
        const names = endpoints.map(each => each.name);
        return candidatesOf({
            endpoints,
            matched: index.match(target.pieces, names, now),
            confirmed: holds ? index.matchConfirmed(target.pieces, names) : [],
            fetchMsPerPiece: holds ? fetches.msPerPiece(now) : undefined,
            promptTokens: target.promptTokens,
            pieceTokens: target.pieceTokens,
            now,
        });
    }

    #startsNow(call: Call, chosen: Candidate, now: Millis): boolean {
        if (call.target.kind === "service" || !this.#parts.holds) {
            return true;
        }
        return chosen.estimate.wait <= MAX_ENGINE_QUEUE_MS && !this.#waitsForPieces(call, chosen, now);
    }

    /**
     * Whether the endpoint is computing pieces that this call counts on. Sent now, it would compute them once more;
     * sent when they are there, it starts no later and leaves the engine's time to others.
     */
    #waitsForPieces(call: Call, chosen: Candidate, now: Millis): boolean {
        const { computing, index } = this.#parts;
        const counted = call.target.kind === "model" ? call.target.pieces.slice(0, chosen.matchedPieces) : [];
        const underWay = computing.among(counted, chosen.endpoint, now);
        return underWay.length > 0 && !index.isConfirmed(underWay, chosen.endpoint);
    }
}
