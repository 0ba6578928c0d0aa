import type { Percentiles } from "./Percentiles.js";
import type { PhaseFigures } from "./PhaseFigures.js";

/** Sums of the daemons' own counters, by series. */
type DaemonCounters = Readonly<Record<string, number>>;

/** Results of one policy on one workload. */
type RunFigures = {
    readonly workload: string;
    readonly policy: string;
    readonly seed: number;
    readonly seconds: number;
    readonly phases: readonly PhaseFigures[];
    /** Seconds from the shift of the hot prefixes until the hit rate recovered to 0.9 of the steady one. */
    readonly shiftRecoverySeconds: number | undefined;
    /** Bookings that ran more than once. */
    readonly doubledBookings: number;
    readonly daemonCpuMsPerRequest: number;
    readonly daemonBytesPerRequest: number;
    readonly counters: DaemonCounters;
    /** Delay between intended and actual sending of requests by the load generator. */
    readonly generatorLateness: Percentiles;
};

export type { DaemonCounters, RunFigures };
