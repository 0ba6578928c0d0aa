import type { Millis } from "@azureshunt/core";

/** Times on the way of a declaration from the store to the VMs. */
type ReadTiming = {
    /** Longest wait, in the store, of a read for several failure domains. */
    readonly maxWaitMs: Millis;
    /** Age of the last confirmation at which the reader of a failure domain reads, while another VM reads for all. */
    readonly domainReadAgeMs: Millis;
    /**
     * The same for a VM that leaves reading to another one. Later, so that the beacon of its domain's reader arrives
     * first.
     */
    readonly followerReadAgeMs: Millis;
    /** Maximum age of what a relay answers in place of the store. */
    readonly maxAnswerAgeMs: Millis;
};

/**
 * Fractions of the time in which a change must be in force. What follows the age at which a follower reads is left for
 * a relay that does not answer and for the read itself.
 */
const FOLLOWER_FRACTION = 0.8;
const DOMAIN_FRACTION = 0.7;
/** Below the age at which a follower reads, or an answer would not put its next read off. */
const ANSWER_FRACTION = 0.6;
/** Left between the end of a wait and the reads of the other domains: for a slow answer and one lost beacon. */
const BEACON_MARGIN_MS: Millis = 450;

/**
 * Upper bounds however late a change may be in force: keys must stay confirmed if a read fails, and an answer older
 * than that is better replaced by a read of the store.
 */
const MAX_WAIT_MS: Millis = 950;
const MAX_DOMAIN_READ_AGE_MS: Millis = 2_200;
const MAX_FOLLOWER_READ_AGE_MS: Millis = 2_500;
const MAX_ANSWER_AGE_MS: Millis = 2_000;

/**
 * Returns the times on the way of a declaration.
 *
 * The one VM that reads for all may fail at any moment, and nobody knows until the next confirmation does not come. What
 * it confirmed last may be as new as its failure. So the age at which the others read for themselves, and their reads,
 * must together be shorter than the time in which a change must be in force.
 *
 * @param configurationMs time in which a change must be in force
 */
export function readTiming(configurationMs: Millis): ReadTiming {
    const domainReadAgeMs = Math.min(MAX_DOMAIN_READ_AGE_MS, DOMAIN_FRACTION * configurationMs);
    return {
        maxWaitMs: Math.max(0, Math.min(MAX_WAIT_MS, Math.floor(domainReadAgeMs - BEACON_MARGIN_MS))),
        domainReadAgeMs,
        followerReadAgeMs: Math.min(MAX_FOLLOWER_READ_AGE_MS, FOLLOWER_FRACTION * configurationMs),
        maxAnswerAgeMs: Math.min(MAX_ANSWER_AGE_MS, ANSWER_FRACTION * configurationMs),
    };
}
