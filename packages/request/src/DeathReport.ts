import type { EndpointDeath } from "./EndpointDeath.js";

/** The death of an endpoint, with the requests that the VMs reported as running there. */
export type DeathReport = {
    readonly death: EndpointDeath;
    /** Whether every VM has reported what it ran there; if not, an unreported request may be the cause. */
    readonly complete: boolean;
};
