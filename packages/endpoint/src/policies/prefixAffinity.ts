import { rendezvousOrder } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** Multiple of the mean load above which the next endpoint in order gets the request. */
const LOAD_BOUND = 1.25;
/** Number of leading pieces that form the key, as many requests share them. */
const KEY_PIECES = 2;

/** Baseline policy: rendezvous hashing of the prompt's first pieces, with a bound on each endpoint's load. */
export function prefixAffinity(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const total = candidates.reduce((sum, each) => sum + each.load.requests, 0);
    const bound = Math.ceil(LOAD_BOUND * (total + 1) / candidates.length);
    const key = request.pieces.slice(0, KEY_PIECES).at(-1) ?? String(request.turn);
    const order = rendezvousOrder(key, candidates.map(each => each.endpoint))
        .flatMap(endpoint => candidates.filter(each => each.endpoint === endpoint));
    return order.find(each => each.load.requests < bound) ?? order[0];
}
