import type { IdleCase } from "./IdleCase.js";

/** What a VM at rest used; CPU times are in milliseconds per second. */
export type IdleFigures = IdleCase & {
    readonly cpuMs: number;
    /** Fraction of the samples by component, from a run with a profiler; the rest is the runtime's own. */
    readonly shares: Readonly<Record<string, number>>;
    /** Times per second that the process waited and was woken. */
    readonly wakeUps: number;
    readonly residentMb: number;
    readonly beaconsSent: number;
    readonly beaconsReceived: number;
    readonly peersKnown: number;
    readonly endpointsKnown: number;
};
