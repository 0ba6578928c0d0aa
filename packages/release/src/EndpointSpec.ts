import { EndpointName, FailureDomain, ModelName, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** An endpoint as a release note declares it. */
const EndpointSpec = z.strictObject({
    name: EndpointName,
    kind: z.enum(["model", "service", "cache"]),
    failureDomain: FailureDomain,
    url: z.string().url(),
    /** Models that a model engine must load. */
    models: z.array(ModelName).default([]),
    /** The service of which this endpoint is a replica, for kind `service`. */
    service: ServiceName.optional(),
    /** Whether it refuses orders with an old fencing token. */
    checksFencing: z.boolean().default(true),
    /** Whether it is leaving: it gets no new requests, and its running streams finish. */
    leaving: z.boolean().default(false),
});
type EndpointSpec = z.infer<typeof EndpointSpec>;

export { EndpointSpec };
