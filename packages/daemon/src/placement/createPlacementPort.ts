import type { EndpointName, Refusal, RequestId } from "@azureshunt/core";
import { policyOf, PrefixIndex } from "@azureshunt/endpoint";
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
import { EndpointBook } from "./EndpointBook.js";
import type { EndpointInfo } from "./EndpointInfo.js";
import { FetchCost } from "./FetchCost.js";
import { fetchPieces } from "./fetchPieces.js";
import type { PlacementMessage } from "./PlacementMessage.js";
import { placementMetrics } from "./placementMetrics.js";
import { PlacementModel } from "./PlacementModel.js";
import { shareDispatches } from "./shareDispatches.js";
import { shareEngineNews } from "./shareEngineNews.js";
import { startWatch } from "./startWatch.js";
import type { Waiter } from "./Waiter.js";
import { WaitingCalls } from "./WaitingCalls.js";

const TICK_MS = 5;
const SWEEP_MS = 250;
/** Connections for polls; they are short. */
const POLL_CONNECTIONS = 2;
const DEFAULT_WEIGHT = 1;

/** Chooses endpoints, and tells what it knows of them. */
type RunningPlacement = PlacementPort & {
    readonly stop: () => void;
    /** All declared endpoints, for `azureshunt endpoint list`. */
    readonly inspect: () => readonly EndpointInfo[];
    /** The choices made for a request, for `azureshunt why`; undefined when it is not remembered. */
    readonly explain: (requestId: RequestId) => readonly ChoiceRecord[] | undefined;
};

/** What other parts add to the choice. */
type PlacementOptions = {
    /** Whether a call may run beside what runs at an endpoint; always when left out. */
    readonly mayShare?: (call: Call, endpoint: EndpointName) => boolean;
};

/** Starts to watch the declared endpoints and to choose among them. */
export function createPlacementPort(ctx: DaemonContext, options: PlacementOptions = {}): RunningPlacement {
    const { clock, settings } = ctx;
    const now = clock.now;
    const logger = ctx.logger("placement");
    const book = new EndpointBook();
    const index = new PrefixIndex();
    const computing = new ComputingPieces();
    const waiting = new WaitingCalls();
    const choices = new ChoiceLog();
    const watches = new Map<EndpointName, ReturnType<typeof startWatch>>();
    const dispatcher = new Agent({ connections: POLL_CONNECTIONS });
    const streams = new Agent();
    const fetching = new Agent();

    const fetches = new FetchCost();
    const chooser = new Chooser({
        fetches,
        book,
        index,
        computing,
        policy: policyOf(settings.policy),
        holds: settings.policy === "azureshunt",
        random: ctx.random,
        mayShare: options.mayShare ?? (() => true),
    });

    const engines = (): readonly EndpointName[] =>
        book.specs().filter(spec => spec.kind === "model").map(spec => spec.name);
    const news = shareEngineNews(ctx, engines, {
        onCacheEvent: (endpoint, event) => tell({ kind: "cache-event", endpoint, event }),
        onLoad: (endpoint, report, askedAt) =>
            tell({ kind: "endpoint", endpoint, event: { kind: "load-reported", report, askedAt } }),
    });

    const watch = (spec: EndpointSpec): ReturnType<typeof startWatch> =>
        startWatch({
            spec,
            clock,
            random: ctx.random,
            dispatcher,
            streams,
            follows: () => news.follows(spec.name),
            onEvent: event => {
                tell({ kind: "endpoint", endpoint: spec.name, event });
                if (event.kind === "load-reported") {
                    news.forwardLoad(spec.name, event.report, event.askedAt);
                }
            },
            onCacheEvent: event => {
                tell({ kind: "cache-event", endpoint: spec.name, event });
                news.forwardChange(spec.name, event);
            },
            onCacheSnapshot: snapshot => tell({ kind: "cache-snapshot", endpoint: spec.name, snapshot }),
            cursor: () => ({
                incarnation: index.incarnationOf(spec.name),
                seq: index.seqOf(spec.name),
                doubtful: index.isDoubtful(spec.name),
            }),
        });

    const configured = (gone: readonly EndpointName[]): void => {
        gone.forEach(name => {
            watches.get(name)?.stop();
            watches.delete(name);
        });
        book.specs()
            .filter(spec => !watches.has(spec.name))
            .forEach(spec => watches.set(spec.name, watch(spec)));
    };

    const model = new PlacementModel({
        book,
        index,
        computing,
        waiting,
        chooser,
        choices,
        metrics: placementMetrics(ctx.metrics),
        now,
        tell: message => tell(message),
        probe: name => watches.get(name)?.probe(),
        configured,
        resync: (name, isNewRun) => watches.get(name)?.resync(isNewRun),
        shareSpeed: (name, msPerToken) => sharing.shareSpeed(name, msPerToken),
        fetches,
        fetch: one => fetchPieces(fetching, one),
        announce: work => sharing.announce(work),
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
                logger.error({ err }, "placement: a message could not be handled");
                return crashed.resume;
            },
        },
    );
    const tell = (message: PlacementMessage): void => dispatch(actor, message);

    const tickets = { next: 0 };
    const sharing = shareDispatches(ctx, {
        dispatched: ({ endpoint, incarnation, prefillTokens, pieces, sentAt, expectedMs }) => {
            tell({ kind: "endpoint", endpoint, event: { kind: "dispatched-elsewhere", prefillTokens, sentAt } });
            tell({ kind: "computing-elsewhere", endpoint, incarnation, pieces, expectedAt: sentAt + expectedMs });
        },
        observed: (endpoint, msPerToken) =>
            tell({ kind: "endpoint", endpoint, event: { kind: "speed-observed", msPerToken } }),
    });

    const place: PlacementPort["place"] = (call, tried) =>
        new Promise<Either<Refusal, Placement>>(resolve => {
            // A hedged request waits twice at once, so the call's own id would not do.
            const id = `${call.id}/${tickets.next++}` as RequestId;
            const abandon = (): void => tell({ kind: "abandoned", id });
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
            tell({ kind: "place", waiter: { call, tried, item, settle } });
            call.signal.addEventListener("abort", abandon, { once: true });
            if (call.signal.aborted) {
                abandon();
            }
        });

    const inspect = (): readonly EndpointInfo[] =>
        book.specs().flatMap(spec => {
            const state = book.stateOf(spec.name);
            return state === undefined ? [] : [describeEndpoint(spec, state, index.isDoubtful(spec.name), now())];
        });

    const unregister = [
        ctx.release.subscribe(cfg => tell({ kind: "configured", cfg })),
        ctx.metrics.gauge("azureshunt_queue_length", "Requests that wait for an endpoint.", () => waiting.size),
        ctx.metrics.gauge("azureshunt_index_entries", "Cached blocks known to the prefix index.", () => index.size),
        ctx.metrics.gauge("azureshunt_index_bytes", "Bytes of the prefix index.", () => index.bytes),
    ];
    const ticks = setInterval(() => waiting.size > 0 && tell({ kind: "tick" }), TICK_MS);
    const sweeps = setInterval(() => tell({ kind: "sweep" }), SWEEP_MS);
    const cfg = ctx.release.current();
    if (cfg !== undefined) {
        tell({ kind: "configured", cfg });
    }

    const stop = (): void => {
        clearInterval(ticks);
        clearInterval(sweeps);
        unregister.forEach(each => each());
        watches.forEach(each => each.stop());
        sharing.stop();
        news.stop();
        stopActor(actor);
        void dispatcher.destroy();
        void streams.destroy();
        void fetching.destroy();
    };
    return { place, stop, inspect, explain: id => choices.get(id) };
}
