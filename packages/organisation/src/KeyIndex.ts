import type { KeySpec } from "@azureshunt/release";

/** Keys of one configuration by the leading digits of their digests. */
export type KeyIndex = {
    readonly valid: ReadonlyMap<string, readonly KeySpec[]>;
    readonly withdrawn: ReadonlyMap<string, readonly KeySpec[]>;
};
