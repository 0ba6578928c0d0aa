import type { Arrival } from "./Arrival.js";
import type { Workload } from "./Workload.js";

const BYTES_PER_TOKEN = 4;

/** Returns text of an exact number of tokens; texts of different labels differ from the start. */
const textOf = (label: string, tokens: number): string =>
    `${label} `.repeat(Math.ceil(tokens * BYTES_PER_TOKEN / (label.length + 1))).slice(0, tokens * BYTES_PER_TOKEN);

/** Returns the part of a prompt before the question: instructions, then a standard, then a manual. */
function prefixOf({ prefixes, engine }: Workload, { organisation, prefix }: Arrival): string {
    const { instructionPieces, standardPieces, manualPieces } = prefixes;
    const parts = prefix === undefined ? [] : [
        textOf(`standard ${prefix.standard}`, standardPieces * engine.pieceTokens),
        textOf(`manual ${prefix.standard}.${prefix.manual}`, manualPieces * engine.pieceTokens),
    ];
    return [textOf(`instructions of ${organisation}`, instructionPieces * engine.pieceTokens), ...parts].join("");
}

/** Returns the prompt of a request. */
export function promptOf(workload: Workload, arrival: Arrival): string {
    return prefixOf(workload, arrival) + textOf(`question ${arrival.id}`, workload.questionTokens);
}
