import type { KeyId, OrganisationId } from "@azureshunt/core";

/** Organisation that a valid key belongs to. */
export type Caller = {
    readonly keyId: KeyId;
    readonly organisation: OrganisationId;
};
