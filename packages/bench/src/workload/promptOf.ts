import type { Arrival } from "./Arrival.js";
import type { Workload } from "./Workload.js";

const BYTES_PER_TOKEN = 4;

/** Text of an exact number of tokens that differs from all others from its beginning on. */
const textOf = (label: string, tokens: number): string =>
    `${label} `.repeat(Math.ceil(tokens * BYTES_PER_TOKEN / (label.length + 1))).slice(0, tokens * BYTES_PER_TOKEN);

/** The part of a prompt before the question: instructions, then a standard, then a manual. */
function prefixOf({ prefixes, engine }: Workload, { organisation, prefix }: Arrival): string {
    const { instructionPieces, standardPieces, manualPieces } = prefixes;
    const parts = prefix === undefined ? [] : [
        textOf(`standard ${prefix.standard}`, standardPieces * engine.pieceTokens),
        textOf(`manual ${prefix.standard}.${prefix.manual}`, manualPieces * engine.pieceTokens),
    ];
    return [textOf(`instructions of ${organisation}`, instructionPieces * engine.pieceTokens), ...parts].join("");
}

/** The prompt of a request, and how many tokens it has. */
export function promptOf(workload: Workload, arrival: Arrival): string {
    return prefixOf(workload, arrival) + textOf(`question ${arrival.id}`, workload.questionTokens);
}
