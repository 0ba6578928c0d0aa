import { answerOf } from "@azureshunt/core";
import type { Refusal } from "@azureshunt/core";

/** Statuses that promise that the request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/**
 * Gives the status of a refusal.
 *
 * Failure: a request that may have run is answered with a status that promises that it has not; its caller sends it
 * again, and it runs twice. Guard: such a status needs that no try can have run.
 */
export function statusOf(refusal: Refusal): number {
    const { status } = answerOf(refusal.kind);
    return PROMISES.has(status) && refusal.ran !== "no" ? BAD_GATEWAY : status;
}
