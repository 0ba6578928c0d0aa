/** What limited endpoints got, of VMs that had learned of the limit. */
export type LimitOutcome = {
    /** Requests in 4 s beyond what is allowed, at the endpoint and moment with most; 0 or less if all kept to it. */
    readonly over: number;
    /** Requests from 3 s on, as a share of what the limits allow. */
    readonly used: number;
    /** Requests for which no endpoint had room, as a share of all from 3 s on. */
    readonly refused: number;
    /** Questions to holders. */
    readonly asks: number;
};
