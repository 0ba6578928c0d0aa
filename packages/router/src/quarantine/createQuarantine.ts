import type { Clock, Millis } from "@azureshunt/core";
import { fingerprintOf } from "@azureshunt/request";
import type { RequestFingerprint } from "@azureshunt/request";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { Beacon } from "../peers/Beacon.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { ServedRequest } from "../serve/ServedRequest.js";
import type { TryStage } from "../serve/TryStage.js";
import type { CrashEvent } from "./CrashEvent.js";
import type { CrashHistory } from "./CrashHistory.js";
import { stepCrashHistory } from "./stepCrashHistory.js";

type QuarantineParts = {
    readonly clock: Clock;
    /** Whether nothing listens at an address any more; false if that is unknown. */
    readonly hasDied: (address: string) => Promise<boolean>;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Keeps requests that crash endpoints from being run repeatedly. */
type Quarantine = {
    readonly isQuarantined: (served: ServedRequest) => boolean;
    /**
     * Reports that a try broke off, and checks whether its endpoint died. Resolves at once, unless an earlier try of
     * the request broke off or the request was running at an earlier death: then it may be the cause, and all results
     * are awaited.
     */
    readonly reportBrokenTry: (served: ServedRequest, endpoint: EndpointEntry, stage: TryStage) => Promise<void>;
    readonly applyBeacon: (beacon: Beacon) => void;
    readonly beaconFields: () => Pick<Beacon, "deaths" | "quarantined">;
    readonly tick: () => void;
};

/** How long a death is sent to the other VMs: some beacons may be lost. */
const SEND_FOR_MS = 3_000;
/** Maximum rows of each kind in one beacon, so that it fits into a datagram; the newest are sent. */
const MAX_SENT_ROWS = 40;

type SentDeath = { readonly request: RequestFingerprint; readonly death: string; readonly at: Millis; };

const fingerprintRequest = ({ caller, body }: ServedRequest): RequestFingerprint =>
    fingerprintOf([caller.key ?? "", caller.method, caller.host, caller.target, body]);

/** Creates the quarantine, empty. */
export function createQuarantine({ clock, hasDied, logger, metrics }: QuarantineParts): Quarantine {
    const state = {
        history: { deaths: new Map(), quarantined: new Map() } as CrashHistory,
        /** Deaths to send to the other VMs: observed by this VM or received from another one. */
        sentDeaths: [] as readonly SentDeath[],
    };
    const deathChecks = new Map<string, Promise<boolean>>();
    /** By request: settles when it is known which endpoints of its broken tries died. */
    const pendingResults = new Map<RequestFingerprint, Promise<void>>();

    const apply = (event: CrashEvent): void => {
        const before = state.history.quarantined;
        state.history = stepCrashHistory(state.history, event, clock.now());
        [...state.history.quarantined.keys()].filter(request => !before.has(request)).forEach(request => {
            metrics.count("azureshunt_quarantines_total", "Requests that are not run as they crash endpoints.");
            logger.warn({
                fingerprint: request,
                deaths: [...state.history.deaths.get(request)?.keys() ?? []],
                told: event.kind === "quarantined",
            }, "Quarantined a request that crashes endpoints.");
        });
    };

    const recordDeath = (request: RequestFingerprint, death: string): void => {
        state.sentDeaths = [...state.sentDeaths, { request, death, at: clock.now() }].slice(-MAX_SENT_ROWS);
        apply({ kind: "death", death, running: [request] });
    };

    /** Checks a death once, although it shows on all connections to the endpoint. */
    const sharedDeathCheck = (death: string, address: string): Promise<boolean> => {
        const known = deathChecks.get(death) ?? hasDied(address).finally(() => deathChecks.delete(death));
        deathChecks.set(death, known);
        return known;
    };
    const checkDeath = async (
        { caller }: ServedRequest,
        request: RequestFingerprint,
        endpoint: EndpointEntry,
        stage: TryStage,
    ): Promise<void> => {
        const death = `${endpoint.name}/${endpoint.bornAt}`;
        if (!await sharedDeathCheck(death, endpoint.address)) {
            return;
        }
        recordDeath(request, death);
        metrics.count(
            "azureshunt_requests_at_deaths_total",
            "Requests that endpoints ran when they died, by how far the answer was.",
            { stage },
        );
        logger.info({
            endpoint: endpoint.name,
            bornAt: endpoint.bornAt,
            id: caller.id,
            fingerprint: request,
            stage,
            promptParts: caller.prompt?.parts.map(({ id }) => id),
        }, "An endpoint died while it ran a request.");
    };

    const reportBrokenTry: Quarantine["reportBrokenTry"] = async (served, endpoint, stage) => {
        const request = fingerprintRequest(served);
        const earlier = pendingResults.get(request);
        const isSuspect = state.history.deaths.has(request) || earlier !== undefined;
        const result = Promise.all([earlier, checkDeath(served, request, endpoint, stage)]).then(() => undefined);
        pendingResults.set(request, result);
        void result.finally(() => pendingResults.get(request) === result && pendingResults.delete(request));
        await (isSuspect ? result : undefined);
    };
    const applyBeacon: Quarantine["applyBeacon"] = beacon => {
        beacon.deaths.forEach(([request, death]) => {
            if (state.history.deaths.get(request)?.has(death) !== true) {
                recordDeath(request, death);
            }
        });
        beacon.quarantined.forEach(([request, forMs]) => {
            if (!state.history.quarantined.has(request)) {
                apply({ kind: "quarantined", request, forMs });
            }
        });
    };
    return {
        isQuarantined: served =>
            state.history.quarantined.size > 0
            && (state.history.quarantined.get(fingerprintRequest(served)) ?? -Infinity) > clock.now(),
        reportBrokenTry,
        applyBeacon,
        beaconFields: () => ({
            deaths: state.sentDeaths
                .filter(({ at }) => clock.now() - at < SEND_FOR_MS)
                .map(({ request, death }) => [request, death] as const),
            quarantined: [...state.history.quarantined].slice(-MAX_SENT_ROWS).map(([request, until]) =>
                [request, until - clock.now()] as const
            ),
        }),
        tick: () => apply({ kind: "tick" }),
    };
}
