import { setTimeout as sleep } from "node:timers/promises";

import type { EndpointName, VmId } from "@azureshunt/core";
import { deathsOf } from "@azureshunt/request";
import type { RequestFingerprint } from "@azureshunt/request";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import { deathIdOf } from "./deathIdOf.js";
import { deathMessageOf } from "./deathMessageOf.js";
import { fingerprintCall } from "./fingerprintCall.js";
import { gatherDeath } from "./gatherDeath.js";
import { hasDied } from "./hasDied.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import type { SuspectTimes } from "./SuspectTimes.js";

/** Dependencies of `createDeathChecker`. */
type DeathCheckerParts = {
    readonly ctx: DaemonContext;
    readonly calls: RunningCalls;
    readonly suspects: SuspectAggregate;
    readonly times: SuspectTimes;
    readonly sendToPeers: (kind: string, body: () => object | undefined) => void;
};

/** Checks whether endpoints have died and which requests were running there. */
type DeathChecker = {
    /** Settles when it is known whether the endpoint of a broken try has died, and what else was running there. */
    readonly checkDeath: (placement: Placement) => Promise<void>;
    /** Settles when it is known which endpoints of a request's broken tries have died. */
    readonly waitForProbes: (request: RequestFingerprint) => Promise<void>;
    /** Settles when all deaths of endpoints that a request was running on have been checked. */
    readonly waitForChecks: (request: RequestFingerprint) => Promise<void>;
    readonly stop: () => void;
};

/** Starts the checks of deaths. A death breaks all connections to the endpoint at once, but is checked only once. */
export function createDeathChecker({ ctx, calls, suspects, times, sendToPeers }: DeathCheckerParts): DeathChecker {
    const { clock, metrics, peers } = ctx;
    const logger = ctx.logger("suspects");
    const probing = new Map<string, Promise<void>>();
    const gathering = new Map<string, Promise<void>>();
    const stopped = new AbortController();

    const ranHere = (id: string, endpoint: EndpointName): readonly RequestFingerprint[] =>
        calls.runningAtDeath(id, endpoint, clock.now()).map(fingerprintCall);

    const recordDeath = (
        id: string,
        endpoint: EndpointName,
        running: readonly RequestFingerprint[],
        complete: boolean,
    ): Promise<void> => {
        const death = { id, endpoint, at: clock.now(), running: [...new Set(running)] };
        return suspects.apply({ kind: "death", report: { death, complete }, gatheredHere: true });
    };

    /** Returns the message about a death for the other VMs; undefined once the death is explained. */
    const reportOf = (id: string): object | undefined =>
        suspects.state().deaths.filter(death => death.id === id).map(deathMessageOf)[0];

    const recordAnswers = async (
        id: string,
        endpoint: EndpointName,
        running: readonly RequestFingerprint[],
        silent: readonly VmId[],
    ): Promise<void> => {
        logger.info({ id, running, unheard: silent }, "VMs answered which requests they ran on an endpoint that died.");
        // A daemon that has just started may not know its peers yet.
        await recordDeath(id, endpoint, running, silent.length === 0 && peers.peers().length > 0);
        sendToPeers("endpointDeath", () => reportOf(id));
    };

    /**
     * Continues to query VMs that have not answered what they ran. Without their answers the check of the death may
     * never complete, and the requests that were running when the endpoint died stay held.
     */
    const querySilent = async (
        id: string,
        endpoint: EndpointName,
        vms: readonly VmId[],
        until: number,
    ): Promise<void> => {
        await sleep(times.queryAgainMs, undefined, { ref: false });
        const left = vms.filter(vm => peers.peers().some(peer => peer.vm === vm));
        if (left.length === 0 || clock.now() > until || stopped.signal.aborted) {
            return;
        }
        const { running, silent } = await gatherDeath(ctx, {
            id,
            endpoint,
            vms: left,
            timeoutMs: times.queryTimeoutMs,
        });
        if (silent.length < left.length) {
            await recordAnswers(id, endpoint, running, [...silent, ...vms.filter(vm => !left.includes(vm))]);
        }
        return silent.length === 0 ? undefined : querySilent(id, endpoint, silent, until);
    };

    const gather = async (id: string, endpoint: EndpointName): Promise<void> => {
        const vms = peers.peers().map(peer => peer.vm);
        const { running, silent } = await gatherDeath(ctx, { id, endpoint, vms, timeoutMs: times.queryTimeoutMs });
        await recordAnswers(id, endpoint, [...ranHere(id, endpoint), ...running], silent);
        if (silent.length > 0) {
            void querySilent(id, endpoint, silent, clock.now() + times.queryForMs);
        }
    };

    /** Whether the death has been recorded with all that this VM ran there. */
    const isKnown = (id: string, endpoint: EndpointName): boolean => {
        const death = suspects.state().deaths.find(known => known.id === id);
        const recorded = [...death?.running ?? [], ...death?.cleared ?? []];
        return death !== undefined && ranHere(id, endpoint).every(request => recorded.includes(request));
    };

    /**
     * Records a death at once with what this VM ran, so that these requests are held while the other VMs are queried.
     */
    const recordLocalDeath = async (id: string, endpoint: EndpointName): Promise<void> => {
        const running = ranHere(id, endpoint);
        metrics.count("azureshunt_endpoint_deaths_total", "Deaths of endpoints with requests running there.");
        logger.info({ id, running }, "An endpoint has died.");
        await recordDeath(id, endpoint, running, false);
        const gathered = gather(id, endpoint).finally(() => gathering.delete(id));
        gathering.set(id, gathered);
    };

    const probe = async (id: string, { endpoint, url, incarnation }: Placement): Promise<void> => {
        try {
            if (!isKnown(id, endpoint) && await hasDied(url, incarnation)) {
                await recordLocalDeath(id, endpoint);
            }
        }
        finally {
            // This probe does not cover a try that breaks off from here on; such a try starts a new one.
            probing.delete(id);
            await suspects.apply({ kind: "settled", death: id });
        }
    };

    const checkDeath: DeathChecker["checkDeath"] = async placement => {
        const id = deathIdOf(placement);
        const probed = probing.get(id) ?? probe(id, placement);
        probing.set(id, probed);
        await probed;
        await gathering.get(id);
    };
    const idsOf = (request: RequestFingerprint): readonly string[] => [
        ...suspects.state().unjudged.get(request) ?? [],
        ...deathsOf(suspects.state(), request).map(death => death.id),
    ];
    const waitForProbes: DeathChecker["waitForProbes"] = async request => {
        await Promise.all(idsOf(request).map(id => probing.get(id)));
    };
    const waitForChecks: DeathChecker["waitForChecks"] = async request => {
        await waitForProbes(request);
        await Promise.all(idsOf(request).map(id => gathering.get(id)));
    };
    return { checkDeath, waitForProbes, waitForChecks, stop: () => stopped.abort() };
}
