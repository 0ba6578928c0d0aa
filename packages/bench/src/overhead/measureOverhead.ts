import { setTimeout as delay } from "node:timers/promises";

import { Agent } from "undici";

import type { Percentiles } from "../analysis/Percentiles.js";
import { percentilesOf } from "../analysis/percentilesOf.js";
import { readEngineHistories } from "../analysis/readEngineHistories.js";
import type { LoadTarget } from "../load/LoadTarget.js";
import { sendModelRequest } from "../load/sendModelRequest.js";
import { historyFile } from "../measure/historyFile.js";
import { slopeWorkload } from "../slopes/slopeWorkload.js";
import { withWorkload } from "../slopes/withWorkload.js";
import type { Arrival } from "../workload/Arrival.js";
import { addedTimes } from "./addedTimes.js";
import { sendProbes } from "./sendProbes.js";

const DAEMONS = 3;
const ENGINES = 3;
const MS_BETWEEN_TOKENS = 39;
const STREAM_TOKENS = 900;
const SETTLE_MS = 4_000;
const PROBES = 250;
const WARM_UP_PROBES = 200;
/** Prompts are short, so that engines prefill them in a few milliseconds. */
const FIRST_LENGTH = 100;
const LENGTH_STEP = 250;
const ENGINE = { prefillUsPerToken: 12, decodeMsPerToken: MS_BETWEEN_TOKENS };

/** Time to the first token without the engine's own time, in milliseconds. */
type Overhead = {
    /** Requests sent directly to an engine: the time that client and connection take. */
    readonly direct: Percentiles;
    /** Requests through a daemon without other requests. */
    readonly idle: Percentiles;
    /** Requests through a daemon that forwards `streams` streams at the same time. */
    readonly loaded: Percentiles;
    readonly streams: number;
};

const streamArrivalOf = (id: number): Arrival => ({
    id,
    at: 0,
    organisation: "only",
    kind: "short",
    daemon: 0,
    prefix: undefined,
    phase: "stream",
});

/**
 * Measures what one daemon adds to the time to the first token, idle and with streams in flight.
 *
 * @param streams number of streams in flight at the daemon
 */
export async function measureOverhead(streams: number): Promise<Overhead> {
    const base = slopeWorkload({ daemons: DAEMONS, engines: ENGINES, pieces: 0, answerTokens: STREAM_TOKENS });
    const workload = { ...base, engine: { ...base.engine, ...ENGINE } };
    return withWorkload(workload, async (topology, target, folder) => {
        const engines = topology.endpoints.filter(({ kind }) => kind === "model");
        const directTarget: LoadTarget = { ...target, daemons: [engines[0]?.url ?? ""] };
        const measureAdded = async (to: LoadTarget, round: number): Promise<Percentiles> => {
            const probes = await sendProbes(to, workload, PROBES, FIRST_LENGTH + round * LENGTH_STEP);
            await delay(SETTLE_MS);
            const files = engines.map(({ name }) => ({ engine: name, file: historyFile(folder, name) }));
            return percentilesOf(addedTimes(probes, readEngineHistories(files)));
        };
        await sendProbes(directTarget, workload, WARM_UP_PROBES, FIRST_LENGTH + 3 * LENGTH_STEP);
        await sendProbes(target, workload, WARM_UP_PROBES, FIRST_LENGTH + 4 * LENGTH_STEP);
        const direct = await measureAdded(directTarget, 2);
        const idle = await measureAdded(target, 1);
        const agent = new Agent({ connections: streams });
        Array.from({ length: streams }, (_, i) => streamArrivalOf(i)).forEach(arrival => {
            void sendModelRequest(agent, target, workload, arrival, () => undefined).catch(() => undefined);
        });
        await delay(SETTLE_MS);
        const loaded = await measureAdded(target, 0);
        await agent.destroy();
        return { direct, idle, loaded, streams };
    });
}
