import type { Millis, Tokens } from "@azureshunt/core";

/** What decides how much of an organisation's demand is let through. */
type DemandView = {
    /** Tokens in the bucket, as this VM reckons them. */
    readonly level: Tokens;
    readonly ratePerSecond: Tokens;
    /** Tokens that the organisation's callers ask for in a second, at all VMs. */
    readonly demandPerSecond: Tokens;
    /** How long it takes until all VMs have heard what one of them lets through. */
    readonly newsMs: Millis;
};

const MS_PER_SECOND = 1_000;
/** Demand up to so many times the rate is let through as long as the bucket holds anything: a short peak is no excess. */
const PEAK = 1.5;

/**
 * Says which part of an organisation's requests is let through while its bucket holds something, from 0 to 1.
 *
 * Failure: an organisation sends several times its rate through dozens of VMs, each of which hears of the others' spending
 * a second late. Whenever the bucket holds something again, all of them see it at once, and until they hear of each other
 * they let through whatever comes: in the end more than rate and burst allow. Guard: each VM knows the demand at all of
 * them, and lets through the part of it that the rate and the bucket can bear until the news have spread.
 */
export function grantPart({ level, ratePerSecond, demandPerSecond, newsMs }: DemandView): number {
    const bearablePerSecond = PEAK * ratePerSecond + Math.max(0, level) * MS_PER_SECOND / newsMs;
    return demandPerSecond <= bearablePerSecond ? 1 : bearablePerSecond / demandPerSecond;
}
