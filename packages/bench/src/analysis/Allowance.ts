/** An organisation's allowance. */
export type Allowance = {
    readonly organisation: string;
    /** Tokens per second. */
    readonly rate: number;
    readonly burst: number;
    /** Tokens available at the start of the run. A real allowance begins empty and fills at its rate. */
    readonly initialTokens: number;
};
