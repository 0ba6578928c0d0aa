/** A part of a run with figures of its own. */
export type Phase = {
    readonly name: string;
    readonly seconds: number;
    /** Factor on the usual request rate of the workload. */
    readonly intensity: number;
    /** Factor on the times that the engines take. Below 1, their caches fill sooner. */
    readonly engineSlowness: number;
    /** Whether the noisy organisation sends several times its rate. */
    readonly noisy: boolean;
    /** Number of places by which the popularity ranking of the prefixes is rotated. */
    readonly shift: number;
};
