import type { Millis, Tokens } from "@azureshunt/core";

/** What decides which fraction of an organisation's demand is admitted. */
type DemandView = {
    /** Tokens that may be spent now, as this VM computes them: those in the bucket, and the overdraft. */
    readonly level: Tokens;
    readonly ratePerSecond: Tokens;
    /** Tokens per second that the organisation's callers request at all VMs. */
    readonly demandPerSecond: Tokens;
    /** Time until all VMs have received what one of them admits. */
    readonly propagationMs: Millis;
};

const MS_PER_SECOND = 1_000;
/**
 * Demand up to this multiple of the rate is admitted while the bucket is not empty, so that a short peak is not cut.
 */
const PEAK_FACTOR = 1.5;

/**
 * Returns the fraction of an organisation's requests to admit while its bucket is not empty, from 0 to 1.
 *
 * An organisation may send several times its rate through dozens of VMs, each of which receives the others' spending a
 * second late. Whenever the bucket holds tokens again, all VMs see it at once, and until they receive each other's
 * spending they would admit every request: in total more than rate and burst allow. To prevent this, each VM knows the
 * demand at all VMs and admits the fraction that the rate and the bucket can cover until updates have reached all VMs.
 */
export function admittedFraction({ level, ratePerSecond, demandPerSecond, propagationMs }: DemandView): number {
    const admissiblePerSecond = PEAK_FACTOR * ratePerSecond + Math.max(0, level) * MS_PER_SECOND / propagationMs;
    return demandPerSecond <= admissiblePerSecond ? 1 : admissiblePerSecond / demandPerSecond;
}
