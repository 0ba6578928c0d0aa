import { EndpointName, Incarnation } from "@azureshunt/core";
import { z } from "zod";

const Count = z.number().int().min(0);

/** A change of an engine's cache; `hashes` are 16 bytes each. */
const CacheChange = z.object({
    endpoint: EndpointName,
    incarnation: Incarnation,
    seq: Count,
    kind: z.enum(["stored", "removed", "cleared"]),
    hashes: z.custom<Uint8Array>(value => value instanceof Uint8Array, "use bytes"),
});

/** A load report of an engine. */
const LoadNotice = z.object({
    endpoint: EndpointName,
    incarnation: Incarnation,
    running: Count,
    waiting: Count,
    waitingTokens: Count,
    measuredMsAgo: Count,
    askedMsAgo: Count,
});

/** Updates of engines from the VM that follows them to the others: the message `EngineNews` of `peers.proto`. */
const EngineNews = z.object({
    /** Engines that the sender follows, also if there are no updates of them. */
    following: z.array(EndpointName).default([]),
    changes: z.array(CacheChange).default([]),
    loads: z.array(LoadNotice).default([]),
});
type EngineNews = z.infer<typeof EngineNews>;

export { EngineNews };
