import { ServiceName } from "@azureshunt/core";
import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 10_000;

/** A route of a plain service. The first route whose method and path prefix match a call decides. */
const ServiceRoute = z.strictObject({
    methods: z.array(z.string().regex(/^[A-Z]+$/)).min(1),
    pathPrefix: z.string().startsWith("/"),
    /** Whether a call may run more than once. */
    repeatable: z.boolean(),
});

/** A plain service as a release note declares it. A call that no route matches may not be repeated. */
const ServiceSpec = z.strictObject({
    name: ServiceName,
    routes: z.array(ServiceRoute).default([]),
    /** Milliseconds that one try may take. */
    timeoutMs: z.number().int().positive().default(DEFAULT_TIMEOUT_MS),
    /** Tokens charged to the organisation for one call. */
    costTokens: z.number().int().min(0).default(0),
});
type ServiceSpec = z.infer<typeof ServiceSpec>;

export { ServiceSpec };
