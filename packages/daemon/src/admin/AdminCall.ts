import type { KeyId } from "@azureshunt/core";

/** An authenticated call of the administration API. */
export type AdminCall = {
    /** Decoded path parameters by the names in the route's path. */
    readonly params: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    /** Value of the `idempotency-key` header: an id that makes repeating the call harmless. */
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    /** Id of the administration key that authenticated the call. */
    readonly keyId: KeyId;
};
