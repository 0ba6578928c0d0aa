/** What the head of an endpoint's answer says. */
export type EndpointHead = {
    readonly status: number;
    /** The request that it answers. */
    readonly requestId: string | undefined;
    /** Whether it bears the endpoint's seal, without which no success is genuine. */
    readonly isSealed: boolean;
    /** The endpoint vouches that it has not run the request. */
    readonly isNotRun: boolean;
    /** Whether the body was encoded on the way and so is not the endpoint's own. */
    readonly isEncoded: boolean;
    /** Version of the weights that answer. */
    readonly weights: number | undefined;
};
