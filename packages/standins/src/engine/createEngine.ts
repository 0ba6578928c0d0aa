import { randomBytes } from "node:crypto";

import { addSample } from "../common/addSample.js";
import type { Clock } from "../common/Clock.js";
import { createSwitches } from "../common/createSwitches.js";
import { openHistory } from "../common/openHistory.js";
import type { Sample } from "../common/Sample.js";
import { sampleAt } from "../common/sampleAt.js";
import { seededRandom } from "../common/seededRandom.js";
import type { Batch } from "./Batch.js";
import { createCacheState } from "./createCacheState.js";
import { createEventStream } from "./createEventStream.js";
import { createScheduler } from "./createScheduler.js";
import type { Engine } from "./Engine.js";
import type { EngineEntry } from "./EngineEntry.js";
import type { EngineFlags } from "./EngineFlags.js";
import { EngineSwitches } from "./EngineSwitches.js";
import { exportToStore } from "./exportToStore.js";
import type { LoadReport } from "./LoadReport.js";
import { parseHolds } from "./parseHolds.js";
import type { Weights } from "./Weights.js";

const INCARNATION_BYTES = 6;
const EXPIRY_CHECKS_PER_IDLE_TIME = 4;

const uncomputedTokens = ({ running, waiting }: Batch): number =>
    [...running, ...waiting].reduce((sum, { promptTokens, computedTokens }) => sum + promptTokens - computedTokens, 0);

/** Creates a model engine, whose cold start begins immediately. */
export function createEngine(flags: EngineFlags, clock: Clock): Engine {
    const incarnation = `${flags.name}-${randomBytes(INCARNATION_BYTES).toString("hex")}`;
    const history = openHistory<EngineEntry>(flags.history);
    const random = seededRandom(flags.seed);
    const startedAt = clock.now();
    let weights: Weights = { holds: parseHolds(flags.holds), loading: [], role: flags.role, fencing: 0 };
    let samples: readonly Sample<LoadReport>[] = [];

    const switches = createSwitches(EngineSwitches, (next, before) => {
        if (next.clearCache !== before.clearCache) {
            cache.clear();
        }
        scheduler.resume();
    });
    const exportPieces = flags.kvStore === undefined ? () => undefined : exportToStore(flags.kvStore, flags.kvBytes);
    const events = createEventStream({ incarnation, clock, random, faults: switches.current });
    const cache = createCacheState({
        clock,
        maxPieces: flags.maxPieces,
        pieceIdleMs: flags.pieceIdleMs,
        publish: (kind, hashes) => {
            events.publish(kind, hashes);
            if (kind === "stored") {
                exportPieces(hashes);
            }
        },
        record: (stored, removed) => history.add({ kind: "cache", stored, removed, at: clock.now() }),
    });
    const report = (batch: Batch): LoadReport => ({
        incarnation,
        running: batch.running.length,
        waiting: batch.waiting.length,
        waitingTokens: uncomputedTokens(batch),
        cachedPieces: cache.current().size,
        maxPieces: flags.maxPieces,
        at: clock.now(),
    });
    const scheduler = createScheduler({
        clock,
        maxBatch: flags.maxBatch,
        costs: () => {
            const { slowFactor } = switches.current();
            return {
                prefillUsPerToken: flags.prefillUsPerToken * slowFactor,
                decodeMsPerToken: flags.decodeMsPerToken * slowFactor,
                prefillChunk: flags.prefillChunk,
            };
        },
        frozen: () => switches.current().frozen,
        cache,
        onScheduled: batch => {
            const sample = { at: clock.now(), value: report(batch) };
            samples = addSample(samples, sample, sample.at - switches.current().loadLagMs);
        },
    });
    const expire = (): void => {
        cache.expire();
        clock.after(flags.pieceIdleMs / EXPIRY_CHECKS_PER_IDLE_TIME, expire);
    };
    const { eventLagMs, eventLoss, loadLagMs, crashOn } = flags;
    switches.update({ eventLagMs, eventLoss, loadLagMs, crashOn });
    history.add({ kind: "start", incarnation, at: startedAt });
    clock.after(flags.pieceIdleMs / EXPIRY_CHECKS_PER_IDLE_TIME, expire);
    return {
        flags,
        incarnation,
        clock,
        switches,
        history,
        events,
        cache,
        scheduler,
        weights: () => weights,
        setWeights: next => {
            weights = next;
        },
        ready: () => clock.now() >= startedAt + flags.coldStartMs && !switches.current().unready,
        reportedLoad: () => sampleAt(samples, clock.now() - switches.current().loadLagMs) ?? report(scheduler.batch()),
    };
}
