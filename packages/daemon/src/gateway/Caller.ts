import type { KeyId, OrganisationId } from "@azureshunt/core";

/** An authenticated caller: its key and the organisation that the key belongs to. */
export type Caller = {
    readonly keyId: KeyId;
    readonly organisation: OrganisationId;
};
