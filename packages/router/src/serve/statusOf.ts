import { answerOf } from "@azureshunt/core";
import type { Refusal } from "@azureshunt/core";

/** Statuses that guarantee that the request has not run and never will. */
const GUARANTEES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BAD_GATEWAY = 502;

/**
 * Returns the HTTP status of a refusal.
 *
 * If a request that may have run were answered with a status that guarantees that it has not, its caller would send it
 * again, and it would run twice. To prevent this, such a status is used only if no try can have run.
 */
export function statusOf(refusal: Refusal): number {
    const { status } = answerOf(refusal.kind);
    return GUARANTEES_NOT_RUN.has(status) && refusal.ran !== "no" ? BAD_GATEWAY : status;
}
