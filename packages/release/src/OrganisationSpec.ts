import { FailureDomain, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** An organisation as declared by a release note. */
const OrganisationSpec = z.strictObject({
    id: OrganisationId,
    /** Tokens per second, over all VMs together. */
    rate: z.number().positive(),
    /** Tokens that may be spent at once, over all VMs together. */
    burst: z.number().positive(),
    /** Fraction of rate and burst for each failure domain, with a sum of 1; by default equal fractions. */
    shares: z.record(FailureDomain, z.number().min(0).max(1)).optional(),
    /** Weight in the fair queue: while endpoints are full, twice the weight gets twice the work. */
    weight: z.number().positive().default(1),
    /** Models and services that it may use; by default all. */
    models: z.array(ModelName).optional(),
    services: z.array(ServiceName).optional(),
    /** Its requests are refused once the configuration was not confirmed for this many seconds; by default never. */
    maxStalenessSeconds: z.number().positive().optional(),
});
type OrganisationSpec = z.infer<typeof OrganisationSpec>;

export { OrganisationSpec };
