import { EndpointName, FailureDomain, ModelName, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** An endpoint as a release note declares it. */
const EndpointSpec = z.strictObject({
    name: EndpointName,
    kind: z.enum(["model", "service", "cache"]),
    failureDomain: FailureDomain,
    url: z.string().url(),
    /** Models that a model engine is to hold. */
    models: z.array(ModelName).default([]),
    /** The service that a plain service's replica belongs to. */
    service: ServiceName.optional(),
    /** Whether it refuses orders with an old fencing number. */
    checksFencing: z.boolean().default(true),
    /** A leaving endpoint gets no new work; its streams finish. */
    leaving: z.boolean().default(false),
});
type EndpointSpec = z.infer<typeof EndpointSpec>;

export { EndpointSpec };
