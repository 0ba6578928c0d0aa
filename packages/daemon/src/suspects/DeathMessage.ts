import { EndpointName } from "@azureshunt/core";
import { RequestFingerprint } from "@azureshunt/request";
import { z } from "zod";

/** A death of an endpoint as VMs exchange it: `EndpointDeath` of `peers.proto`. */
const DeathMessage = z.object({
    id: z.string(),
    endpoint: EndpointName,
    running: z.array(RequestFingerprint).default([]),
    gathered: z.boolean().default(false),
    complete: z.boolean().default(false),
});
type DeathMessage = z.infer<typeof DeathMessage>;

export { DeathMessage };
