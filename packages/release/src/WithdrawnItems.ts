import { EndpointName, KeyId, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** Ids of the items that a release note withdraws. Withdrawing an organisation also withdraws its keys. */
const WithdrawnItems = z.strictObject({
    organisations: z.array(OrganisationId).default([]),
    keys: z.array(KeyId).default([]),
    models: z.array(ModelName).default([]),
    services: z.array(ServiceName).default([]),
    endpoints: z.array(EndpointName).default([]),
});
type WithdrawnItems = z.infer<typeof WithdrawnItems>;

export { WithdrawnItems };
