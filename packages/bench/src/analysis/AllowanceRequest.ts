/** One request as seen by an ideal allowance. */
export type AllowanceRequest = {
    readonly organisation: string;
    /** Milliseconds from the start of the run. */
    readonly at: number;
    /** Tokens charged for the request if it is accepted. */
    readonly cost: number;
    readonly accepted: boolean;
};
