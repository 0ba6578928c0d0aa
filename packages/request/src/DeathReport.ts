import type { EndpointDeath } from "./EndpointDeath.js";

/** A death of an endpoint, with what the VMs said that they ran there. */
export type DeathReport = {
    readonly death: EndpointDeath;
    /** Whether every VM has said what it ran there; otherwise a request nobody told of may be at fault. */
    readonly complete: boolean;
};
