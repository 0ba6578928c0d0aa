import type { EngineChunk } from "./EngineChunk.js";

/** Takes the pieces of an answer, each once and in order, towards the caller. */
export type ModelAnswer = {
    /** Settles when the caller has room for more. */
    readonly piece: (chunk: EngineChunk) => Promise<void>;
    /** Ends a complete answer. */
    readonly complete: () => void;
};
