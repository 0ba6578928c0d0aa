import type { EndpointName } from "@azureshunt/core";
import { RequestFingerprint } from "@azureshunt/request";
import type { SuspectState } from "@azureshunt/request";
import { z } from "zod";

import type { DaemonContext } from "../ports/DaemonContext.js";
import { fingerprintModel } from "./fingerprintModel.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectEvent } from "./SuspectEvent.js";

const Death = z.object({
    id: z.string(),
    endpoint: z.string(),
    running: z.array(RequestFingerprint).default([]),
    gathered: z.boolean().default(false),
    complete: z.boolean().default(false),
});
const Quarantine = z.object({
    requests: z.array(z.object({ fingerprint: RequestFingerprint, remainingMs: z.coerce.number() })).default([]),
});
const Cleared = z.object({ fingerprint: RequestFingerprint });

/** Answers what other VMs tell and ask of suspects; returns the function that ends it. */
export function handleSuspectMessages(
    ctx: DaemonContext,
    calls: RunningCalls,
    state: () => SuspectState,
    tell: (event: SuspectEvent) => void,
): () => void {
    const { peers, clock } = ctx;
    const onDeath = (body: object): Promise<object> => {
        const { gathered, complete, id, running, ...death } = Death.parse(body);
        const endpoint = death.endpoint as EndpointName;
        if (gathered) {
            const report = { death: { id, endpoint, at: clock.now(), running }, complete };
            tell({ kind: "death", report, noted: undefined });
        }
        return Promise.resolve({ running: calls.lately(endpoint, clock.now()).map(fingerprintModel) });
    };
    const onQuarantine = (body: object): Promise<object> => {
        Quarantine.parse(body).requests.forEach(({ fingerprint, remainingMs }) =>
            tell({ kind: "quarantine", request: fingerprint, remainingMs })
        );
        const requests = [...state().quarantined]
            .map(([fingerprint, until]) => ({ fingerprint, remainingMs: Math.ceil(until - clock.now()) }))
            .filter(({ remainingMs }) => remainingMs > 0);
        return Promise.resolve({ requests });
    };
    const onCleared = (body: object): Promise<object> => {
        tell({ kind: "cleared", request: Cleared.parse(body).fingerprint });
        return Promise.resolve({});
    };
    const removals = [
        peers.handle("endpointDeath", onDeath),
        peers.handle("quarantine", onQuarantine),
        peers.handle("suspectCleared", onCleared),
    ];
    return () => removals.forEach(remove => remove());
}
