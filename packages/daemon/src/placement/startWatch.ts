import type { EndpointWatch } from "./EndpointWatch.js";
import { fetchCache } from "./fetchCache.js";
import { followCache } from "./followCache.js";
import { pollLoad } from "./pollLoad.js";
import { pollState } from "./pollState.js";
import { repeat } from "./repeat.js";

/** Shortest time between two requests for the complete cache. */
const MIN_RESYNC_INTERVAL_MS = 200;
/** Interval of checking whether this VM follows the engine. */
const FOLLOW_CHECK_MS = 100;

/** Keeps the state of one endpoint up to date. */
type RunningWatch = {
    /** Polls the endpoint's state now. */
    readonly probe: () => void;
    /**
     * Requests the engine's complete cache soon; for a new incarnation at once, and opens the stream of events again.
     */
    readonly resync: (isNewIncarnation: boolean) => void;
    readonly stop: () => void;
};

/** Starts watching an endpoint: its state, and for model engines also its load and cache. */
export function startWatch(watch: EndpointWatch): RunningWatch {
    const state = repeat(() => pollState(watch));
    if (watch.spec.kind !== "model") {
        return { probe: state.runNow, resync: () => undefined, stop: state.stop };
    }
    const stream = { ended: new AbortController() };
    const load = repeat(() => watch.follows() ? pollLoad(watch) : Promise.resolve(FOLLOW_CHECK_MS));
    const events = repeat(signal => {
        stream.ended = new AbortController();
        return watch.follows()
            ? followCache(watch, AbortSignal.any([signal, stream.ended.signal]))
            : Promise.resolve(FOLLOW_CHECK_MS);
    });
    const followChecks = repeat(() => {
        if (!watch.follows()) {
            stream.ended.abort();
        }
        return Promise.resolve(FOLLOW_CHECK_MS);
    });
    const snapshot = { isWanted: true };
    const resyncs = repeat(async () => {
        if (snapshot.isWanted || (watch.cursor().incarnation !== undefined && watch.cursor().doubtful)) {
            snapshot.isWanted = false;
            await fetchCache(watch);
        }
        return MIN_RESYNC_INTERVAL_MS;
    });
    return {
        probe: state.runNow,
        resync: isNewIncarnation => {
            snapshot.isWanted = true;
            if (isNewIncarnation) {
                stream.ended.abort();
                resyncs.runNow();
            }
        },
        stop: () => [state, load, events, followChecks, resyncs].forEach(each => each.stop()),
    };
}
