import type { Percentiles } from "./Percentiles.js";
import type { PhaseFigures } from "./PhaseFigures.js";

/** What daemons counted themselves, over all of them, by series. */
type DaemonCounters = Readonly<Record<string, number>>;

/** The figures of one policy on one workload. */
type RunFigures = {
    readonly workload: string;
    readonly policy: string;
    readonly seed: number;
    readonly seconds: number;
    readonly phases: readonly PhaseFigures[];
    /** Seconds after the hot prefixes shifted until the hit rate was back at 0.9 of the steady one. */
    readonly shiftRecoverySeconds: number | undefined;
    /** Bookings that ran more than once. */
    readonly doubledBookings: number;
    readonly daemonCpuMsPerRequest: number;
    readonly daemonBytesPerRequest: number;
    readonly counters: DaemonCounters;
    /** By how much the load generator was late. */
    readonly generatorLateness: Percentiles;
};

export type { DaemonCounters, RunFigures };
