import { lantulAlb } from "../workload/lantulAlb.js";
import type { Workload } from "../workload/Workload.js";

/** What a workload for slopes varies. */
type SlopeShape = {
    readonly daemons: number;
    readonly engines: number;
    readonly pieces: number;
    readonly answerTokens: number;
};

const PLENTY_PER_SECOND = 100_000;

/** A workload of short prompts without limits, so that only the daemon's own costs show. */
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
        requestsPerSecond: PLENTY_PER_SECOND,
        questionTokens: 100,
        shortAnswerTokens: answerTokens,
    };
}
