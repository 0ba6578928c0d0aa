import type { Arrival } from "./Arrival.js";
import type { Workload } from "./Workload.js";

/** Returns the maximum tokens of a request: prompt and requested answer. Calls of plain services cost 0. */
export function costOf(workload: Workload, kind: Arrival["kind"]): number {
    const { prefixes, engine, questionTokens, longAnswerTokens, shortAnswerTokens } = workload;
    const { instructionPieces, standardPieces, manualPieces } = prefixes;
    switch (kind) {
        case "long":
            return (instructionPieces + standardPieces + manualPieces) * engine.pieceTokens
                + questionTokens
                + longAnswerTokens;
        case "short":
            return instructionPieces * engine.pieceTokens + questionTokens + shortAnswerTokens;
        case "booking":
        case "lookup":
            return 0;
    }
}
