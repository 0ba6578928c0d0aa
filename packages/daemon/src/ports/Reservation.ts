import type { OrganisationId, Tokens } from "@azureshunt/core";

/** Tokens reserved from an organisation's allowance for one request before it is dispatched. */
export type Reservation = {
    readonly organisation: OrganisationId;
    readonly tokens: Tokens;
};
