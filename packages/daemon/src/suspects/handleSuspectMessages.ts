import { RequestFingerprint, suspectedDeaths } from "@azureshunt/request";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { DeathMessage } from "./DeathMessage.js";
import { deathRow } from "./deathRow.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { QuarantineMessage } from "./QuarantineMessage.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import { takeDeath } from "./takeDeath.js";
import { takeQuarantine } from "./takeQuarantine.js";

const Cleared = z.object({ fingerprint: RequestFingerprint });

/** Answers what other VMs tell and ask of suspects; returns the function that ends it. */
export function handleSuspectMessages(
    ctx: DaemonContext,
    calls: RunningCalls,
    suspects: SuspectAggregate,
): () => void {
    const { peers, clock } = ctx;
    const onDeath = async (body: object): Promise<object> => {
        const death = DeathMessage.parse(body);
        if (death.gathered) {
            await takeDeath(suspects, clock, death);
        }
        return { running: calls.presentAt(death.id, death.endpoint, clock.now()).map(fingerprintModel) };
    };
    const onQuarantine = async (body: object): Promise<object> => {
        await takeQuarantine(suspects, clock, QuarantineMessage.parse(body));
        const requests = [...suspects.state().quarantined]
            .map(([fingerprint, until]) => ({ fingerprint, remainingMs: Math.ceil(until - clock.now()) }))
            .filter(({ remainingMs }) => remainingMs > 0);
        const deaths = suspectedDeaths(suspects.state()).map(deathRow);
        return { requests, deaths };
    };
    const onCleared = async (body: object): Promise<object> => {
        await suspects.tell({ kind: "cleared", request: Cleared.parse(body).fingerprint });
        return {};
    };
    const removals = [
        peers.handle("endpointDeath", onDeath),
        peers.handle("quarantine", onQuarantine),
        peers.handle("suspectCleared", onCleared),
    ];
    return () => removals.forEach(remove => remove());
}
