import type { Millis } from "@azureshunt/core";

/**
 * What an endpoint said when it was asked after the end of its answer: nothing, as it refused, could not be reached or
 * was silent; that another endpoint has its address; or any other answer.
 */
export type EndpointStatement =
    | { readonly kind: "none" | "elsewhere"; }
    | {
        readonly kind: "answer";
        /** Start of the process that answered, in milliseconds since the epoch; `undefined` if it states none. */
        readonly bornAt: number | undefined;
        /** Whether the connection was open before the question. */
        readonly isOnKeptConnection: boolean;
        /** Time from the end of the answer to this one. */
        readonly tookMs: Millis;
    };
