import type { KeyId, OrganisationId } from "@azureshunt/core";

/** Who a caller's key belongs to. */
export type Caller = {
    readonly keyId: KeyId;
    readonly organisation: OrganisationId;
};
