import { setTimeout as sleep } from "node:timers/promises";

import type { EndpointName, VmId } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import { deathIdOf } from "./deathIdOf.js";
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
    /** Settles when it is known whether the endpoint of a broken try has died, and the death is noted. */
    readonly judge: (placement: Placement) => Promise<void>;
    /** The judgements that a request waits for now. */
    readonly pending: (request: RequestFingerprint) => readonly Promise<void>[];
    readonly stop: () => void;
};

/** Starts what judges deaths of endpoints. One death shows on all connections to the endpoint and is judged once. */
export function createDeathJudge({ ctx, calls, suspects, times, tellPeers }: JudgeParts): DeathJudge {
    const { clock, metrics, peers } = ctx;
    const logger = ctx.logger("suspects");
    const judging = new Map<string, Promise<void>>();
    const stopped = new AbortController();

    /** What is still unexplained of a death, for the other VMs. */
    const reportOf = (id: string): object | undefined =>
        suspects.state().deaths
            .filter(death => death.id === id)
            .map(({ endpoint, running, complete }) => ({ id, endpoint, running, gathered: true, complete }))[0];

    const note = async (
        id: string,
        endpoint: EndpointName,
        running: readonly RequestFingerprint[],
        unheard: readonly VmId[],
    ): Promise<void> => {
        // A daemon that has just started may not know its peers yet.
        const complete = unheard.length === 0 && peers.peers().length > 0;
        logger.info({ id, running, unheard }, "An endpoint has died.");
        const death = { id, endpoint, at: clock.now(), running: [...new Set(running)] };
        await suspects.tell({ kind: "death", report: { death, complete }, gatheredHere: true });
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
            await note(id, endpoint, running, [...unheard, ...vms.filter(vm => !left.includes(vm))]);
        }
        return unheard.length === 0 ? undefined : hearRest(id, endpoint, unheard, until);
    };

    const gather = async (id: string, endpoint: EndpointName): Promise<void> => {
        const own = calls.lately(endpoint, clock.now()).map(fingerprintModel);
        const vms = peers.peers().map(peer => peer.vm);
        const { running, unheard } = await gatherDeath(ctx, { id, endpoint, vms, boundMs: times.askBoundMs });
        await note(id, endpoint, [...own, ...running], unheard);
        if (unheard.length > 0) {
            void hearRest(id, endpoint, unheard, clock.now() + times.askForMs);
        }
    };

    /** Whether another VM has told of the death, with all that this one ran there. */
    const isKnown = (id: string, endpoint: EndpointName): boolean => {
        const death = suspects.state().deaths.find(known => known.id === id);
        const told = [...death?.running ?? [], ...death?.cleared ?? []];
        return death !== undefined
            && calls.lately(endpoint, clock.now()).map(fingerprintModel).every(request => told.includes(request));
    };

    const judgeNow = async (id: string, { endpoint, url, incarnation }: Placement): Promise<void> => {
        try {
            if (!isKnown(id, endpoint) && await hasDied(url, incarnation)) {
                metrics.count("azureshunt_endpoint_deaths_total", "Deaths of endpoints with requests running there.");
                await gather(id, endpoint);
            }
        }
        finally {
            // A try that breaks off from here on is not settled by this, so it asks for a judgement of its own.
            judging.delete(id);
            await suspects.tell({ kind: "settled", death: id });
        }
    };

    const judge: DeathJudge["judge"] = placement => {
        const id = deathIdOf(placement);
        const known = judging.get(id) ?? judgeNow(id, placement);
        judging.set(id, known);
        return known;
    };
    const pending: DeathJudge["pending"] = request =>
        (suspects.state().unjudged.get(request) ?? []).flatMap(id => judging.get(id) ?? []);
    return { judge, pending, stop: () => stopped.abort() };
}
