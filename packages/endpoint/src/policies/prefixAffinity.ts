import { rendezvousOrder } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import type { PolicyRequest } from "./PolicyRequest.js";

/** An endpoint may have this times the mean load before the next one in order takes the request. */
const LOAD_BOUND = 1.25;
/** Leading pieces that make the key: the parts that many requests share. */
const KEY_PIECES = 2;

/** Baseline: rendezvous hashing of the prompt's first pieces, with a bound on each endpoint's load. */
export function prefixAffinity(request: PolicyRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const total = candidates.reduce((sum, each) => sum + each.load.requests, 0);
    const bound = Math.ceil(LOAD_BOUND * (total + 1) / candidates.length);
    const key = request.pieces.slice(0, KEY_PIECES).at(-1) ?? String(request.turn);
    const order = rendezvousOrder(key, candidates.map(each => each.endpoint))
        .flatMap(endpoint => candidates.filter(each => each.endpoint === endpoint));
    return order.find(each => each.load.requests < bound) ?? order[0];
}
