import type { Peer } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";
import type { PeerQuery } from "./PeerQuery.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

/** Peers that are asked for one connection: further answers would come too late. */
const MAX_PEERS = 10;
/** The same while all attempts fail, so that a fleet that is cut off as a whole does not spend its time on asking. */
const MAX_PEERS_IN_VAIN = 3;
/** Attempts that must have failed in a row for that. */
const MIN_FAILED_IN_ROW = 48;
/** Peers that must have seen an endpoint fail before no other one is asked, unless there are fewer. */
const MIN_WITNESSES = 2;

const isVerdict = ({ outcome }: PeerAttempt): boolean =>
    outcome === "endpoint-refused" || outcome === "endpoint-silent";

/**
 * Returns whether no further peer should be asked for a connection: enough were, or peers of each failure domain have
 * seen the endpoint fail.
 *
 * @param candidates peers that could be asked next
 */
export function isSearchOver({ history, service, attempts }: PeerQuery, candidates: readonly Peer[]): boolean {
    const { failedInRow } = serviceHistoryOf(history, service);
    const maxPeers = failedInRow >= MIN_FAILED_IN_ROW ? MAX_PEERS_IN_VAIN : MAX_PEERS;
    const verdicts = attempts.filter(isVerdict);
    const witnesses = new Set(verdicts.map(({ peer }) => peer.failureDomain));
    const isConclusive = verdicts.length >= MIN_WITNESSES
        && candidates.every(({ failureDomain }) => witnesses.has(failureDomain));
    return attempts.length >= maxPeers || isConclusive;
}
