import type { LoadKind } from "../../LoadKind.js";

/** A kind of requests in a simulated VM. */
export type SimulatedKind = LoadKind & {
    readonly deadlineMs: number;
    readonly endpointMs: number;
    readonly answerCpuMs: number;
    /** Requests per second at a time. */
    readonly rate: (now: number) => number;
};
