import { answerOf } from "./answerOf.js";
import type { ErrorKind } from "./ErrorKind.js";
import type { Refusal } from "./Refusal.js";

/**
 * Creates a refusal.
 *
 * @param detail additional information for a person; must not contain keys or prompts
 * @param overrides values more accurate than those of `answerOf`, such as a computed Retry-After in seconds
 */
export function refusalOf(
    kind: ErrorKind,
    detail?: string,
    overrides: Partial<Pick<Refusal, "retryAfterSeconds" | "ran">> = {},
): Refusal {
    const { ran, retryAfterSeconds } = answerOf(kind);
    return { kind, detail, ran, retryAfterSeconds, ...overrides };
}
