import type { ServeParts } from "./ServeParts.js";

/** Headers that an answer bears besides: while the VM drains, each answer ends its connection. */
export function closingHeaders({ isDraining }: Pick<ServeParts, "isDraining">): readonly string[] {
    return isDraining() ? ["Connection", "close"] : [];
}
