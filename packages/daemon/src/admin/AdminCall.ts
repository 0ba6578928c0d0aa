import type { KeyId } from "@azureshunt/core";

/** One call of the administration API, its key checked. */
export type AdminCall = {
    /** Parts of the path, by the names that the route gives them; decoded. */
    readonly params: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
    /** Header of that name; an id that makes a repetition of the call harmless. */
    readonly idempotencyKey: string | undefined;
    readonly body: Buffer;
    /** Which administration key was shown. */
    readonly keyId: KeyId;
};
