import type { Clock } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";
import { createSuspects, partKeysOf } from "@azureshunt/quarantine";
import type { SuspectKey, SuspectRows } from "@azureshunt/quarantine";
import { fingerprintOf } from "@azureshunt/request";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { ServedRequest } from "../serve/ServedRequest.js";
import type { TryStage } from "../serve/TryStage.js";

type QuarantineParts = {
    readonly clock: Clock;
    /** Whether nothing listens at an address any more; false if that is unknown. */
    readonly hasDied: (address: string) => Promise<boolean>;
    /** Whether this VM sends on what it learns from others. */
    readonly isRelay: () => boolean;
    /** Whether this VM is the one that probes whether endpoints still crash on a suspect. */
    readonly isProber: (key: SuspectKey) => boolean;
    /** Called when an endpoint is found dead, with its name and the start of its incarnation. */
    readonly onDeath?: (death: string) => void;
    /** Sends this VM's state to the others at once. */
    readonly sendSoon: () => void;
    /** Calls a function after a delay. */
    readonly schedule?: (delayMs: number, run: () => void) => unknown;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** What identifies a request and the parts of its prompt. */
type QuarantinedRequest = Pick<ServedRequest, "caller" | "body" | "service">;

/** Keeps requests, and prompt parts that requests share, from crashing one endpoint after the other. */
type Quarantine = {
    /** Whether a request that has arrived will be refused. */
    readonly isQuarantined: (served: QuarantinedRequest) => boolean;
    /** Whether a request may be sent to an endpoint now; if it is a probe, this starts it. */
    readonly admit: (served: QuarantinedRequest) => boolean;
    /**
     * Reports that a try broke off, and checks whether its endpoint died. Resolves at once, unless the request or one of
     * its parts may be the cause: then all results are awaited, and if its answer had begun, reports of other VMs too.
     *
     * @returns whether the request may be tried at another endpoint
     */
    readonly reportBrokenTry: (
        served: QuarantinedRequest,
        endpoint: EndpointEntry,
        stage: TryStage,
    ) => Promise<boolean>;
    /** Reports that an endpoint has answered a request, and goes on serving. */
    readonly reportAnswered: (served: QuarantinedRequest) => void;
    readonly applyBeacon: (rows: SuspectRows) => void;
    readonly beaconFields: () => SuspectRows;
    /** Number of suspects and answers that are remembered. */
    readonly size: () => number;
    readonly tick: () => void;
};

/** Time for the reports of other VMs about the parts of a request whose endpoint has just died. */
const RETRY_PAUSE_MS = 250;

const fingerprintRequest = ({ caller, body }: QuarantinedRequest): SuspectKey =>
    fingerprintOf([
        caller.key ?? "",
        caller.method,
        caller.host,
        caller.target,
        body,
    ]) as string as SuspectKey;

const partsOf = ({ caller, service }: QuarantinedRequest): readonly SuspectKey[] =>
    caller.prompt === undefined ? [] : partKeysOf({ ...caller.prompt, service });

const keysOf = (served: QuarantinedRequest): readonly SuspectKey[] => [fingerprintRequest(served), ...partsOf(served)];

/** Creates the quarantine, empty. */
export function createQuarantine(parts: QuarantineParts): Quarantine {
    const { clock, hasDied, logger, metrics, schedule = startTimeout } = parts;
    const suspects = createSuspects({
        clock,
        isRelay: parts.isRelay,
        isProber: parts.isProber,
        onUrgent: parts.sendSoon,
        onQuarantined: (key, deaths, source) => {
            metrics.count(
                "azureshunt_quarantines_total",
                "Requests and prompt parts that are not run as they crash endpoints.",
            );
            logger.warn(
                { fingerprint: key, deaths, told: source === "peer" },
                "Quarantined a request or prompt part that crashes endpoints.",
            );
        },
        onReleased: key => logger.warn({ fingerprint: key }, "Released a request or prompt part from quarantine."),
    });
    const deathChecks = new Map<string, Promise<boolean>>();
    /** By request: settles when it is known which endpoints of its broken tries died. */
    const pendingResults = new Map<SuspectKey, Promise<unknown>>();

    /** Checks a death once, although it shows on all connections to the endpoint. */
    const sharedDeathCheck = (death: string, address: string): Promise<boolean> => {
        const known = deathChecks.get(death) ?? hasDied(address).finally(() => deathChecks.delete(death));
        deathChecks.set(death, known);
        return known;
    };
    const checkDeath = async (
        served: QuarantinedRequest,
        { request, promptParts }: { readonly request: SuspectKey; readonly promptParts: readonly SuspectKey[]; },
        endpoint: EndpointEntry,
        stage: TryStage,
    ): Promise<boolean> => {
        const death = `${endpoint.name}/${endpoint.bornAt}`;
        if (!await sharedDeathCheck(death, endpoint.address)) {
            return false;
        }
        parts.onDeath?.(death);
        suspects.recordDeath(death, [
            { key: request, stage: "request" as const },
            ...(stage === "answering" ? [] : promptParts).map(key => ({
                key,
                stage: stage === "begun" ? "begun" as const : "unsettled" as const,
            })),
        ]);
        metrics.count(
            "azureshunt_requests_at_deaths_total",
            "Requests that endpoints ran when they died, by how far the answer was.",
            { stage },
        );
        logger.info({
            endpoint: endpoint.name,
            bornAt: endpoint.bornAt,
            id: served.caller.id,
            fingerprint: request,
            stage,
            promptParts: served.caller.prompt?.parts.map(({ id }) => id),
            partFingerprints: promptParts,
        }, "An endpoint died while it ran a request.");
        return true;
    };

    const reportBrokenTry: Quarantine["reportBrokenTry"] = async (served, endpoint, stage) => {
        const request = fingerprintRequest(served);
        const promptParts = partsOf(served);
        const earlier = pendingResults.get(request);
        const checked = checkDeath(served, { request, promptParts }, endpoint, stage);
        const result = Promise.all([earlier, checked]);
        pendingResults.set(request, result);
        void result.finally(() => pendingResults.get(request) === result && pendingResults.delete(request));
        const arePartsSuspects = stage !== "answering" && suspects.areDoubtful(promptParts);
        if (!arePartsSuspects) {
            await (earlier !== undefined || suspects.isSuspect([request]) ? result : undefined);
            return true;
        }
        await result;
        if (stage === "begun" && await checked && suspects.isSuspect(promptParts)) {
            await new Promise<void>(resolve => schedule(RETRY_PAUSE_MS, resolve));
        }
        return suspects.deathsOf(promptParts) <= 1;
    };
    return {
        isQuarantined: served => suspects.hasQuarantined() && suspects.isRefused(keysOf(served)),
        admit: served => !suspects.hasQuarantined() || suspects.admit(keysOf(served)),
        reportBrokenTry,
        reportAnswered: served => suspects.recordAnswered(partsOf(served)),
        applyBeacon: suspects.receive,
        beaconFields: suspects.rows,
        size: suspects.size,
        tick: suspects.tick,
    };
}
