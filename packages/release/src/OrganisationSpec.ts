import { FailureDomain, ModelName, OrganisationId, ServiceName } from "@azureshunt/core";
import { z } from "zod";

/** An organisation as a release note declares it. */
const OrganisationSpec = z.strictObject({
    id: OrganisationId,
    /** Tokens a second over all VMs together. */
    rate: z.number().positive(),
    /** Tokens that may be spent at once over all VMs together. */
    burst: z.number().positive(),
    /** Part of rate and burst that each failure domain holds; equal parts when left out. Parts sum to 1. */
    shares: z.record(FailureDomain, z.number().min(0).max(1)).optional(),
    /** Weight in the fair queue; twice the weight gets twice the work when endpoints are full. */
    weight: z.number().positive().default(1),
    /** Models and services that it may use; all when left out. */
    models: z.array(ModelName).optional(),
    services: z.array(ServiceName).optional(),
    /** Seconds without news of the configuration after which its requests are refused; never when left out. */
    maxStalenessSeconds: z.number().positive().optional(),
});
type OrganisationSpec = z.infer<typeof OrganisationSpec>;

export { OrganisationSpec };
