import type { KeyId, OrganisationId } from "@azureshunt/core";

/** Whom a valid key belongs to. */
export type Caller = {
    readonly keyId: KeyId;
    readonly organisation: OrganisationId;
};
