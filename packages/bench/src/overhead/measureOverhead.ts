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
/** Prompts stay short, so that engines compute them in a few milliseconds. */
const FIRST_LENGTH = 100;
const LENGTH_STEP = 250;
const ENGINE = { prefillUsPerToken: 12, decodeMsPerToken: MS_BETWEEN_TOKENS };

/** Time to the first token that is not the engine's own, in milliseconds. */
type Overhead = {
    /** Straight to an engine: what client and connection take by themselves. */
    readonly direct: Percentiles;
    readonly idle: Percentiles;
    readonly loaded: Percentiles;
    readonly streams: number;
};

const streamOf = (id: number): Arrival => ({
    id,
    at: 0,
    organisation: "only",
    kind: "short",
    daemon: 0,
    prefix: undefined,
    phase: "stream",
});

/**
 * Measures what one daemon adds to the first token, alone and with streams in flight at it.
 *
 * @param streams streams at the one daemon
 */
export async function measureOverhead(streams: number): Promise<Overhead> {
    const plain = slopeWorkload({ daemons: DAEMONS, engines: ENGINES, pieces: 0, answerTokens: STREAM_TOKENS });
    const workload = { ...plain, engine: { ...plain.engine, ...ENGINE } };
    return withWorkload(workload, async (topology, target, folder) => {
        const engines = topology.endpoints.filter(({ kind }) => kind === "model");
        const straight: LoadTarget = { ...target, daemons: [engines[0]?.url ?? ""] };
        const added = async (to: LoadTarget, round: number): Promise<Percentiles> => {
            const probes = await sendProbes(to, workload, PROBES, FIRST_LENGTH + round * LENGTH_STEP);
            await delay(SETTLE_MS);
            const files = engines.map(({ name }) => ({ engine: name, file: historyFile(folder, name) }));
            return percentilesOf(addedTimes(probes, readEngineHistories(files)));
        };
        await sendProbes(straight, workload, WARM_UP_PROBES, FIRST_LENGTH + 3 * LENGTH_STEP);
        await sendProbes(target, workload, WARM_UP_PROBES, FIRST_LENGTH + 4 * LENGTH_STEP);
        const direct = await added(straight, 2);
        const idle = await added(target, 1);
        const agent = new Agent({ connections: streams });
        Array.from({ length: streams }, (_, i) => streamOf(i)).forEach(arrival => {
            void sendModelRequest(agent, target, workload, arrival, () => undefined).catch(() => undefined);
        });
        await delay(SETTLE_MS);
        const loaded = await added(target, 0);
        await agent.destroy();
        return { direct, idle, loaded, streams };
    });
}
