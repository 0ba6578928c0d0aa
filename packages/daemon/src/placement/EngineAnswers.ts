import { AdapterName, Incarnation, ModelName, PieceHash, WeightsVersion } from "@azureshunt/core";
import { z } from "zod";

const HeldWeights = z.object({ model: ModelName, adapter: AdapterName.nullish(), version: WeightsVersion })
    .transform(({ model, adapter, version }) => ({ model, adapter: adapter ?? undefined, version }));
const Count = z.number().int().min(0);

/** Answers of a model engine to queries about its state. */
const EngineAnswers = {
    /** `GET /v1/state` */
    state: z.object({ incarnation: Incarnation, ready: z.boolean(), holds: z.array(HeldWeights) }),
    /** `GET /v1/load`; `at` is in milliseconds since the epoch by the engine's clock. */
    load: z.object({
        incarnation: Incarnation,
        running: Count,
        waiting: Count,
        waitingTokens: z.number().min(0),
        at: z.number(),
    }),
    /** `GET /v1/cache` */
    cache: z.object({ incarnation: Incarnation, seq: Count, hashes: z.array(PieceHash) }),
    /** One event of `GET /v1/cache-events` */
    cacheEvent: z.object({
        incarnation: Incarnation,
        seq: Count,
        kind: z.enum(["stored", "removed", "cleared"]),
        hashes: z.array(PieceHash),
    }),
};

export { EngineAnswers };
