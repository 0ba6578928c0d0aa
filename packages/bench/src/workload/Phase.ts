/** A part of a run. Figures are given for each. */
export type Phase = {
    readonly name: string;
    readonly seconds: number;
    /** How many times the workload's usual requests come. */
    readonly intensity: number;
    /** What the engines' costs are multiplied by; below 1 caches fill sooner. */
    readonly engineSlowness: number;
    /** Whether the noisy organisation sends several times its rate. */
    readonly noisy: boolean;
    /** By how many places the ranking of hot prefixes is turned. */
    readonly shift: number;
};
