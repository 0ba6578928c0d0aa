import type { Clock } from "@azureshunt/core";

import type { DeathMessage } from "./DeathMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";

/** Takes in a death that another VM tells of. */
export function takeDeath(
    suspects: SuspectAggregate,
    clock: Clock,
    { id, endpoint, running, complete }: DeathMessage,
): Promise<void> {
    const report = { death: { id, endpoint, at: clock.now(), running }, complete };
    return suspects.tell({ kind: "death", report, gatheredHere: false });
}
