import type { Placement } from "../ports/Placement.js";

/** Returns the id of the death of the incarnation of an endpoint that a try was sent to; the same on all VMs. */
export function deathIdOf({ endpoint, incarnation }: Pick<Placement, "endpoint" | "incarnation">): string {
    return `${endpoint}/${incarnation ?? "unknown"}`;
}
