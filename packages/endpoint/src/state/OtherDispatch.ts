import type { Millis, Tokens } from "@azureshunt/core";

/** Work that another VM said it sent to an endpoint. */
export type OtherDispatch = {
    readonly sentAt: Millis;
    readonly prefillTokens: Tokens;
};
