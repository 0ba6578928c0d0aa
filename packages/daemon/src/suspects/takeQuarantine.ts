import type { Clock } from "@azureshunt/core";

import type { QuarantineMessage } from "./QuarantineMessage.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import { takeDeath } from "./takeDeath.js";

/** Takes in what another VM tells of requests that crash endpoints. */
export async function takeQuarantine(
    suspects: SuspectAggregate,
    clock: Clock,
    { requests, deaths }: QuarantineMessage,
): Promise<void> {
    await Promise.all(
        requests.map(({ fingerprint, remainingMs }) =>
            suspects.tell({ kind: "quarantine", request: fingerprint, remainingMs })
        ),
    );
    await Promise.all(deaths.map(death => takeDeath(suspects, clock, death)));
}
