/** One call that a plain service ran. */
export type ServiceRun = {
    readonly method: string;
    readonly path: string;
    readonly organisation: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly dispatchId: string | undefined;
    /** Milliseconds since the epoch. */
    readonly at: number;
};
