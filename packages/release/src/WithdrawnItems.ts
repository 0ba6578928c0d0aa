import { EndpointName, KeyId, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** Ids of items that a release note withdraws. The keys of a withdrawn organisation are withdrawn with it. */
const WithdrawnItems = z.strictObject({
    organisations: z.array(OrganisationId).default([]),
    keys: z.array(KeyId).default([]),
    models: z.array(ModelName).default([]),
    services: z.array(ServiceName).default([]),
    endpoints: z.array(EndpointName).default([]),
});
type WithdrawnItems = z.infer<typeof WithdrawnItems>;

export { WithdrawnItems };
