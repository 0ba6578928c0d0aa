import type { Clock } from "@azureshunt/core";

import { applyDeath } from "./applyDeath.js";
import type { QuarantineMessage } from "./QuarantineMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";

/** Applies the quarantines and deaths that another VM sent. */
export async function applyQuarantine(
    suspects: SuspectAggregate,
    clock: Clock,
    { requests, deaths }: QuarantineMessage,
): Promise<void> {
    await Promise.all(
        requests.map(({ fingerprint, remainingMs }) =>
            suspects.apply({ kind: "quarantine", request: fingerprint, remainingMs })
        ),
    );
    await Promise.all(deaths.map(death => applyDeath(suspects, clock, death)));
}
