import { lantulAlb } from "../workload/lantulAlb.js";
import type { Workload } from "../workload/Workload.js";

/** Parameters that differ between the workloads for slopes. */
type SlopeShape = {
    readonly daemons: number;
    readonly engines: number;
    /** Pieces of each prompt before its question. */
    readonly pieces: number;
    readonly answerTokens: number;
};

const UNLIMITED_REQUESTS_PER_SECOND = 100_000;

/** Creates a workload that no rate limits, on engines that take little time, so that only the daemon's costs show. */
export function slopeWorkload({ daemons, engines, pieces, answerTokens }: SlopeShape): Workload {
    return {
        ...lantulAlb,
        name: "slopes",
        daemons,
        engines,
        engine: { ...lantulAlb.engine, prefillUsPerToken: 0, decodeMsPerToken: 1, maxBatch: 1_024 },
        organisations: [{ id: "only", share: 1 }],
        noisy: { id: "only", factor: 1 },
        prefixes: { ...lantulAlb.prefixes, instructionPieces: pieces },
        requestsPerSecond: UNLIMITED_REQUESTS_PER_SECOND,
        questionTokens: 100,
        shortAnswerTokens: answerTokens,
    };
}
