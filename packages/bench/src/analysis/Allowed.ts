/** An organisation's allowance. */
export type Allowed = {
    readonly organisation: string;
    /** Tokens a second. */
    readonly rate: number;
    readonly burst: number;
};
