import { EndpointName, Incarnation } from "@azureshunt/core";
import { z } from "zod";

const Count = z.number().int().min(0);

/** Work that a daemon sent to an endpoint: the message `Dispatch` of `peers.proto`. */
const DispatchNotice = z.object({
    endpoint: EndpointName,
    incarnation: Incarnation,
    prefillTokens: Count,
    /** Hashes of the pieces that the endpoint computes, 16 bytes each. */
    pieces: z.custom<Uint8Array>(value => value instanceof Uint8Array, "use bytes"),
    sentMsAgo: Count,
    expectedMs: Count,
});
type DispatchNotice = z.infer<typeof DispatchNotice>;

export { DispatchNotice };
