import type { EndpointWatch } from "./EndpointWatch.js";
import { fetchCache } from "./fetchCache.js";
import { followCache } from "./followCache.js";
import { pollLoad } from "./pollLoad.js";
import { pollState } from "./pollState.js";
import { repeat } from "./repeat.js";

/** Snapshots are asked for no more often than this. */
const MIN_RESYNC_MS = 200;
/** How often it is looked at who follows an engine. */
const DUTY_CHECK_MS = 100;

/** What keeps the knowledge of one endpoint fresh. */
type RunningWatch = {
    /** Asks for the endpoint's state now. */
    readonly probe: () => void;
    /** Asks for the engine's whole cache soon, and opens the stream of events anew when a new run began. */
    readonly resync: (isNewRun: boolean) => void;
    readonly stop: () => void;
};

/** Starts to watch an endpoint: its state, and for model engines its load and cache. */
export function startWatch(watch: EndpointWatch): RunningWatch {
    const state = repeat(() => pollState(watch));
    if (watch.spec.kind !== "model") {
        return { probe: state.hurry, resync: () => undefined, stop: state.stop };
    }
    const stream = { ended: new AbortController() };
    const load = repeat(() => watch.follows() ? pollLoad(watch) : Promise.resolve(DUTY_CHECK_MS));
    const events = repeat(signal => {
        stream.ended = new AbortController();
        return watch.follows()
            ? followCache(watch, AbortSignal.any([signal, stream.ended.signal]))
            : Promise.resolve(DUTY_CHECK_MS);
    });
    const duty = repeat(() => {
        if (!watch.follows()) {
            stream.ended.abort();
        }
        return Promise.resolve(DUTY_CHECK_MS);
    });
    const snapshots = { isWanted: true };
    const resyncs = repeat(async () => {
        if (snapshots.isWanted || (watch.cursor().incarnation !== undefined && watch.cursor().doubtful)) {
            snapshots.isWanted = false;
            await fetchCache(watch);
        }
        return MIN_RESYNC_MS;
    });
    return {
        probe: state.hurry,
        resync: isNewRun => {
            snapshots.isWanted = true;
            if (isNewRun) {
                stream.ended.abort();
                resyncs.hurry();
            }
        },
        stop: () => [state, load, events, duty, resyncs].forEach(each => each.stop()),
    };
}
