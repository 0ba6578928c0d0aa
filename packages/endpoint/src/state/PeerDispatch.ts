import type { Millis, Tokens } from "@azureshunt/core";

/** Work that another VM reported to have sent to an endpoint. */
export type PeerDispatch = {
    readonly sentAt: Millis;
    readonly prefillTokens: Tokens;
};
