import type { EngineChunk } from "./EngineChunk.js";

/** Sends the pieces of an answer to the caller. Each piece is written once and in order. */
export type ModelAnswer = {
    /** Settles when the caller can receive more. */
    readonly write: (chunk: EngineChunk) => Promise<void>;
    /** Ends a complete answer. */
    readonly complete: () => void;
};
