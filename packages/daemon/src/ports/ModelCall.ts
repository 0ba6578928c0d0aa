import type { AdapterName, ModelName, PieceHash, Tokens, WeightsVersion } from "@azureshunt/core";

/** A call to a model, resolved against the current configuration. */
export type ModelCall = {
    readonly kind: "model";
    /** Path of the request to the engine: `/v1/chat/completions` or `/v1/completions`. */
    readonly path: string;
    readonly model: ModelName;
    readonly version: WeightsVersion;
    readonly adapter: AdapterName | undefined;
    readonly cacheSalt: string;
    /** Chained hashes of the prompt's complete pieces. */
    readonly pieces: readonly PieceHash[];
    readonly pieceTokens: Tokens;
    readonly promptTokens: Tokens;
    readonly maxTokens: Tokens;
    readonly stream: boolean;
    /** The caller's body, as parsed. */
    readonly body: Readonly<Record<string, unknown>>;
};
