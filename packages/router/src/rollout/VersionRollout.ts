import type { Millis, ServiceName } from "@azureshunt/core";

/** An operators' order to move a service's traffic to endpoints that run another version of its software. */
export type VersionRollout = {
    /** Offset of the order in the topic of the declarations; a later order for the service has a higher one. */
    readonly id: number;
    readonly service: ServiceName;
    /** Software version of the new endpoints. */
    readonly version: string;
    /** Time from the order by which it must have ended. */
    readonly durationMs: Millis;
    /** When this VM learned of the order. */
    readonly learnedAt: Millis;
};
