/** An organisation's allowance. */
export type Allowed = {
    readonly organisation: string;
    /** Tokens a second. */
    readonly rate: number;
    readonly burst: number;
    /** Tokens that it may spend at the start of the run. An allowance begins empty and fills at its rate. */
    readonly atStart: number;
};
