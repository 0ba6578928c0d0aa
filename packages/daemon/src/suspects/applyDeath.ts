import type { Clock } from "@azureshunt/core";

import type { DeathMessage } from "./DeathMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";

/** Applies a death that another VM sent. */
export function applyDeath(
    suspects: SuspectAggregate,
    clock: Clock,
    { id, endpoint, running, complete }: DeathMessage,
): Promise<void> {
    const report = { death: { id, endpoint, at: clock.now(), running }, complete };
    return suspects.apply({ kind: "death", report, gatheredHere: false });
}
