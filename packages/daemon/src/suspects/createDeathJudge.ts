import { setTimeout as sleep } from "node:timers/promises";

import type { EndpointName, VmId } from "@azureshunt/core";
import { deathsOf } from "@azureshunt/request";
import type { RequestFingerprint } from "@azureshunt/request";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import { deathIdOf } from "./deathIdOf.js";
import { deathRow } from "./deathRow.js";
import { fingerprintModel } from "./fingerprintModel.js";
import { gatherDeath } from "./gatherDeath.js";
import { hasDied } from "./hasDied.js";
import type { RunningCalls } from "./RunningCalls.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import type { SuspectTimes } from "./SuspectTimes.js";

/** What judging a death needs. */
type JudgeParts = {
    readonly ctx: DaemonContext;
    readonly calls: RunningCalls;
    readonly suspects: SuspectAggregate;
    readonly times: SuspectTimes;
    readonly tellPeers: (kind: string, body: () => object | undefined) => void;
};

/** Finds out whether endpoints have died and who was there. */
type DeathJudge = {
    /** Settles when it is known whether the endpoint of a broken try has died, and who else was there. */
    readonly judge: (placement: Placement) => Promise<void>;
    /** Settles when it is known which endpoints of a request's broken tries have died. */
    readonly probed: (request: RequestFingerprint) => Promise<void>;
    /** Settles when all deaths that a request was present at are judged. */
    readonly judged: (request: RequestFingerprint) => Promise<void>;
    readonly stop: () => void;
};

/** Starts what judges deaths of endpoints. One death shows on all connections to the endpoint and is judged once. */
export function createDeathJudge({ ctx, calls, suspects, times, tellPeers }: JudgeParts): DeathJudge {
    const { clock, metrics, peers } = ctx;
    const logger = ctx.logger("suspects");
    const probing = new Map<string, Promise<void>>();
    const gathering = new Map<string, Promise<void>>();
    const stopped = new AbortController();

    const ranHere = (id: string, endpoint: EndpointName): readonly RequestFingerprint[] =>
        calls.presentAt(id, endpoint, clock.now()).map(fingerprintModel);

    const note = (
        id: string,
        endpoint: EndpointName,
        running: readonly RequestFingerprint[],
        complete: boolean,
    ): Promise<void> => {
        const death = { id, endpoint, at: clock.now(), running: [...new Set(running)] };
        return suspects.tell({ kind: "death", report: { death, complete }, gatheredHere: true });
    };

    /** What is still unexplained of a death, for the other VMs. */
    const reportOf = (id: string): object | undefined =>
        suspects.state().deaths.filter(death => death.id === id).map(deathRow)[0];

    const noteAnswers = async (
        id: string,
        endpoint: EndpointName,
        running: readonly RequestFingerprint[],
        unheard: readonly VmId[],
    ): Promise<void> => {
        logger.info({ id, running, unheard }, "VMs said what they ran on an endpoint that died.");
        // A daemon that has just started may not know its peers yet.
        await note(id, endpoint, running, unheard.length === 0 && peers.peers().length > 0);
        tellPeers("endpointDeath", () => reportOf(id));
    };

    /**
     * Goes on asking VMs that have not said what they ran. Without their answers the death may never be judged, and the
     * requests present at it stay held.
     */
    const hearRest = async (
        id: string,
        endpoint: EndpointName,
        vms: readonly VmId[],
        until: number,
    ): Promise<void> => {
        await sleep(times.askAgainMs, undefined, { ref: false });
        const left = vms.filter(vm => peers.peers().some(peer => peer.vm === vm));
        if (left.length === 0 || clock.now() > until || stopped.signal.aborted) {
            return;
        }
        const { running, unheard } = await gatherDeath(ctx, { id, endpoint, vms: left, boundMs: times.askBoundMs });
        if (unheard.length < left.length) {
            await noteAnswers(id, endpoint, running, [...unheard, ...vms.filter(vm => !left.includes(vm))]);
        }
        return unheard.length === 0 ? undefined : hearRest(id, endpoint, unheard, until);
    };

    const gather = async (id: string, endpoint: EndpointName): Promise<void> => {
        const vms = peers.peers().map(peer => peer.vm);
        const { running, unheard } = await gatherDeath(ctx, { id, endpoint, vms, boundMs: times.askBoundMs });
        await noteAnswers(id, endpoint, [...ranHere(id, endpoint), ...running], unheard);
        if (unheard.length > 0) {
            void hearRest(id, endpoint, unheard, clock.now() + times.askForMs);
        }
    };

    /** Whether the death is known, with all that this VM ran there. */
    const isKnown = (id: string, endpoint: EndpointName): boolean => {
        const death = suspects.state().deaths.find(known => known.id === id);
        const told = [...death?.running ?? [], ...death?.cleared ?? []];
        return death !== undefined && ranHere(id, endpoint).every(request => told.includes(request));
    };

    /** Notes a death at once with what this VM ran, so that it holds these requests while the other VMs are asked. */
    const noteOwn = async (id: string, endpoint: EndpointName): Promise<void> => {
        const running = ranHere(id, endpoint);
        metrics.count("azureshunt_endpoint_deaths_total", "Deaths of endpoints with requests running there.");
        logger.info({ id, running }, "An endpoint has died.");
        await note(id, endpoint, running, false);
        const gathered = gather(id, endpoint).finally(() => gathering.delete(id));
        gathering.set(id, gathered);
    };

    const probe = async (id: string, { endpoint, url, incarnation }: Placement): Promise<void> => {
        try {
            if (!isKnown(id, endpoint) && await hasDied(url, incarnation)) {
                await noteOwn(id, endpoint);
            }
        }
        finally {
            // A try that breaks off from here on is not settled by this, so it is probed for anew.
            probing.delete(id);
            await suspects.tell({ kind: "settled", death: id });
        }
    };

    const judge: DeathJudge["judge"] = async placement => {
        const id = deathIdOf(placement);
        const known = probing.get(id) ?? probe(id, placement);
        probing.set(id, known);
        await known;
        await gathering.get(id);
    };
    const idsOf = (request: RequestFingerprint): readonly string[] => [
        ...suspects.state().unjudged.get(request) ?? [],
        ...deathsOf(suspects.state(), request).map(death => death.id),
    ];
    const probed: DeathJudge["probed"] = async request => {
        await Promise.all(idsOf(request).map(id => probing.get(id)));
    };
    const judged: DeathJudge["judged"] = async request => {
        await probed(request);
        await Promise.all(idsOf(request).map(id => gathering.get(id)));
    };
    return { judge, probed, judged, stop: () => stopped.abort() };
}
