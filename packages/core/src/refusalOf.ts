import { answerOf } from "./answerOf.js";
import type { ErrorKind } from "./ErrorKind.js";
import type { Refusal } from "./Refusal.js";

/**
 * Builds a refusal of a kind.
 *
 * @param kind kind of error
 * @param detail what a person needs to know besides; without keys and prompts
 * @param more values truer than the table's, such as a computed Retry-After in seconds
 */
export function refusalOf(
    kind: ErrorKind,
    detail?: string,
    more: Partial<Pick<Refusal, "retryAfterSeconds" | "ran">> = {},
): Refusal {
    const { ran, retryAfterSeconds } = answerOf(kind);
    return { kind, detail, ran, retryAfterSeconds, ...more };
}
