import { RequestFingerprint, suspectedDeaths } from "@azureshunt/request";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { applyDeath } from "./applyDeath.js";
import { applyQuarantine } from "./applyQuarantine.js";
import { DeathMessage } from "./DeathMessage.js";
import { deathMessageOf } from "./deathMessageOf.js";
import { fingerprintCall } from "./fingerprintCall.js";
import { QuarantineMessage } from "./QuarantineMessage.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";

const ClearedBody = z.object({ fingerprint: RequestFingerprint });

/**
 * Handles messages of other VMs about suspects.
 *
 * @returns a function that removes the handlers
 */
export function handleSuspectMessages(
    ctx: DaemonContext,
    calls: RunningCalls,
    suspects: SuspectAggregate,
): () => void {
    const { peers, clock } = ctx;
    const onDeath = async (body: object): Promise<object> => {
        const death = DeathMessage.parse(body);
        if (death.gathered) {
            await applyDeath(suspects, clock, death);
        }
        return { running: calls.runningAtDeath(death.id, death.endpoint, clock.now()).map(fingerprintCall) };
    };
    const onQuarantine = async (body: object): Promise<object> => {
        await applyQuarantine(suspects, clock, QuarantineMessage.parse(body));
        const requests = [...suspects.state().quarantined]
            .map(([fingerprint, until]) => ({ fingerprint, remainingMs: Math.ceil(until - clock.now()) }))
            .filter(({ remainingMs }) => remainingMs > 0);
        const deaths = suspectedDeaths(suspects.state()).map(deathMessageOf);
        return { requests, deaths };
    };
    const onCleared = async (body: object): Promise<object> => {
        await suspects.apply({ kind: "cleared", request: ClearedBody.parse(body).fingerprint });
        return {};
    };
    const removals = [
        peers.handle("endpointDeath", onDeath),
        peers.handle("quarantine", onQuarantine),
        peers.handle("suspectCleared", onCleared),
    ];
    return () => removals.forEach(remove => remove());
}
