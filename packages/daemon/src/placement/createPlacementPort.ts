import type { EndpointName, Refusal, RequestId } from "@azureshunt/core";
import { policyOf, PrefixIndex } from "@azureshunt/endpoint";
import { maxAnswerHeadBytes, maxReportBytes } from "@azureshunt/http";
import type { EndpointSpec } from "@azureshunt/release";
import { dispatch, spawn, stop as stopActor } from "nact";
import type { Either } from "purify-ts";
import { Agent } from "undici";

import type { Call } from "../ports/Call.js";
import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Placement } from "../ports/Placement.js";
import type { PlacementPort } from "../ports/PlacementPort.js";
import { ChoiceLog } from "./ChoiceLog.js";
import type { ChoiceRecord } from "./ChoiceRecord.js";
import { Chooser } from "./Chooser.js";
import { ComputingPieces } from "./ComputingPieces.js";
import { costOf } from "./costOf.js";
import { describeEndpoint } from "./describeEndpoint.js";
import type { EndpointInfo } from "./EndpointInfo.js";
import { EndpointTable } from "./EndpointTable.js";
import { FetchCost } from "./FetchCost.js";
import { fetchPieces } from "./fetchPieces.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import { placementMetrics } from "./placementMetrics.js";
import { PlacementModel } from "./PlacementModel.js";
import { shareDispatches } from "./shareDispatches.js";
import { shareEngineUpdates } from "./shareEngineUpdates.js";
import { startWatch } from "./startWatch.js";
import type { Waiter } from "./Waiter.js";
import { WaitingCalls } from "./WaitingCalls.js";

const TICK_MS = 5;
const SWEEP_MS = 250;
/** Connections per endpoint for polls; few, as polls are short. */
const POLL_CONNECTIONS = 2;
const DEFAULT_WEIGHT = 1;

/** Chooses endpoints, and reports their state. */
type RunningPlacement = PlacementPort & {
    readonly stop: () => void;
    /** All declared endpoints, for `azureshunt endpoint list`. */
    readonly inspect: () => readonly EndpointInfo[];
    /** The choices made for a request, for `azureshunt why`; undefined if the request is no longer kept. */
    readonly explain: (requestId: RequestId) => readonly ChoiceRecord[] | undefined;
};

/** Conditions that other parts of the daemon add to the choice. */
type PlacementOptions = {
    /** Whether a call may run at an endpoint beside the calls that run there; by default it may. */
    readonly mayShare?: (call: Call, endpoint: EndpointName) => boolean;
};

/** Starts watching the declared endpoints and choosing among them. */
export function createPlacementPort(ctx: DaemonContext, options: PlacementOptions = {}): RunningPlacement {
    const { clock, settings } = ctx;
    const now = clock.now;
    const logger = ctx.logger("placement");
    const endpointTable = new EndpointTable();
    const index = new PrefixIndex();
    const computing = new ComputingPieces();
    const waiting = new WaitingCalls();
    const choices = new ChoiceLog();
    const watches = new Map<EndpointName, ReturnType<typeof startWatch>>();
    const dispatcher = new Agent({
        connections: POLL_CONNECTIONS,
        maxHeaderSize: maxAnswerHeadBytes,
        maxResponseSize: maxReportBytes,
    });
    const streams = new Agent({ maxHeaderSize: maxAnswerHeadBytes });
    const fetchDispatcher = new Agent({ maxHeaderSize: maxAnswerHeadBytes });

    const fetches = new FetchCost();
    const chooser = new Chooser({
        fetches,
        endpointTable,
        index,
        computing,
        policy: policyOf(settings.policy),
        isQueueing: settings.policy === "azureshunt",
        random: ctx.random,
        mayShare: options.mayShare ?? (() => true),
    });

    const engines = (): readonly EndpointName[] =>
        endpointTable.specs().filter(spec => spec.kind === "model").map(spec => spec.name);
    const engineUpdates = shareEngineUpdates(ctx, engines, {
        onCacheEvent: (endpoint, event) => post({ kind: "cache-event", endpoint, event }),
        onLoad: (endpoint, report, requestedAt) =>
            post({ kind: "endpoint", endpoint, event: { kind: "load-reported", report, requestedAt } }),
    });

    const watch = (spec: EndpointSpec): ReturnType<typeof startWatch> =>
        startWatch({
            spec,
            clock,
            random: ctx.random,
            dispatcher,
            streams,
            follows: () => engineUpdates.follows(spec.name),
            onEvent: event => {
                post({ kind: "endpoint", endpoint: spec.name, event });
                if (event.kind === "load-reported") {
                    engineUpdates.sendLoad(spec.name, event.report, event.requestedAt);
                }
            },
            onCacheEvent: event => {
                post({ kind: "cache-event", endpoint: spec.name, event });
                engineUpdates.sendChange(spec.name, event);
            },
            onCacheSnapshot: snapshot => post({ kind: "cache-snapshot", endpoint: spec.name, snapshot }),
            cursor: () => ({
                incarnation: index.incarnationOf(spec.name),
                seq: index.seqOf(spec.name),
                doubtful: index.needsResync(spec.name),
            }),
        });

    const updateWatches = (gone: readonly EndpointName[]): void => {
        gone.forEach(name => {
            watches.get(name)?.stop();
            watches.delete(name);
        });
        endpointTable.specs()
            .filter(spec => !watches.has(spec.name))
            .forEach(spec => watches.set(spec.name, watch(spec)));
    };

    const model = new PlacementModel({
        endpointTable,
        index,
        computing,
        waiting,
        chooser,
        choices,
        metrics: placementMetrics(ctx.metrics),
        now,
        post: message => post(message),
        probe: name => watches.get(name)?.probe(),
        updateWatches,
        resync: (name, isNewIncarnation) => watches.get(name)?.resync(isNewIncarnation),
        shareSpeed: (name, msPerToken) => sharing.shareSpeed(name, msPerToken),
        fetches,
        fetch: one => fetchPieces(fetchDispatcher, one),
        shareDispatch: work => sharing.shareDispatch(work),
    });

    const actor = spawn(
        ctx.system,
        (_state: undefined, message: PlacementMessage) => {
            model.handle(message);
            return undefined;
        },
        "placement",
        {
            onCrash: (_message, err, crashed) => {
                logger.error({ err }, "Handling a placement message failed: internal error.");
                return crashed.resume;
            },
        },
    );
    const post = (message: PlacementMessage): void => dispatch(actor, message);

    const waiterNumber = { next: 0 };
    const sharing = shareDispatches(ctx, {
        onDispatch: ({ endpoint, incarnation, prefillTokens, pieces, sentAt, expectedMs }) => {
            post({ kind: "endpoint", endpoint, event: { kind: "dispatched-elsewhere", prefillTokens, sentAt } });
            post({ kind: "computing-elsewhere", endpoint, incarnation, pieces, expectedAt: sentAt + expectedMs });
        },
        onSpeed: (endpoint, msPerToken) =>
            post({ kind: "endpoint", endpoint, event: { kind: "speed-observed", msPerToken } }),
    });

    const place: PlacementPort["place"] = (call, tried) =>
        new Promise<Either<Refusal, Placement>>(resolve => {
            // A hedged request waits twice at the same time, so the id of the call is not unique here.
            const id = `${call.id}/${waiterNumber.next++}` as RequestId;
            const abandon = (): void => post({ kind: "abandoned", id });
            const settle: Waiter["settle"] = result => {
                call.signal.removeEventListener("abort", abandon);
                resolve(result);
            };
            const item = {
                id,
                organisation: call.organisation,
                weight: ctx.release.current()?.organisations.get(call.organisation)?.weight ?? DEFAULT_WEIGHT,
                cost: costOf(call),
                priority: call.priority,
                deadline: call.deadline,
                arrivedAt: now(),
            };
            post({ kind: "place", waiter: { call, tried, item, settle } });
            call.signal.addEventListener("abort", abandon, { once: true });
            if (call.signal.aborted) {
                abandon();
            }
        });

    const inspect = (): readonly EndpointInfo[] =>
        endpointTable.specs().flatMap(spec => {
            const state = endpointTable.stateOf(spec.name);
            return state === undefined ? [] : [describeEndpoint(spec, state, index.needsResync(spec.name), now())];
        });

    const unregister = [
        ctx.release.subscribe(cfg => post({ kind: "configured", cfg })),
        ctx.metrics.gauge("azureshunt_queue_length", "Requests that wait for an endpoint.", () => waiting.size),
        ctx.metrics.gauge("azureshunt_index_entries", "Cached blocks known to the prefix index.", () => index.size),
        ctx.metrics.gauge("azureshunt_index_bytes", "Bytes of the prefix index.", () => index.bytes),
    ];
    const ticks = setInterval(() => waiting.size > 0 && post({ kind: "tick" }), TICK_MS);
    const sweeps = setInterval(() => post({ kind: "sweep" }), SWEEP_MS);
    const cfg = ctx.release.current();
    if (cfg !== undefined) {
        post({ kind: "configured", cfg });
    }

    const stop = (): void => {
        clearInterval(ticks);
        clearInterval(sweeps);
        unregister.forEach(each => each());
        watches.forEach(each => each.stop());
        sharing.stop();
        engineUpdates.stop();
        stopActor(actor);
        void dispatcher.destroy();
        void streams.destroy();
        void fetchDispatcher.destroy();
    };
    return { place, stop, inspect, explain: id => choices.get(id) };
}
