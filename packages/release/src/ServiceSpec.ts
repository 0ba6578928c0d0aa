import { ServiceName } from "@azureshunt/core";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 10_000;

/** A route of a plain service. The first route whose method and path prefix match a call applies. */
const ServiceRoute = z.strictObject({
    methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
    pathPrefix: z.string().startsWith("/"),
    /** Whether a call may run more than once. */
    repeatable: z.boolean(),
});

/** A plain service as declared by a release note. A call that matches no route may not be repeated. */
const ServiceSpec = z.strictObject({
    name: ServiceName,
    routes: z.array(ServiceRoute).default([]),
    /** Time limit of one try. */
    timeoutMs: z.number().int().positive().default(DEFAULT_TIMEOUT_MS),
    /** Tokens charged to the organisation for one call. */
    costTokens: z.number().int().min(0).default(0),
});
type ServiceSpec = z.infer<typeof ServiceSpec>;

export { ServiceSpec };
