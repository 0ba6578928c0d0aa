import type { ServeParts } from "./ServeParts.js";

/** Returns additional headers of an answer: while this VM drains, each answer closes the caller's connection. */
export function closingHeaders({ isDraining }: Pick<ServeParts, "isDraining">): readonly string[] {
    return isDraining() ? ["Connection", "close"] : [];
}
