import type { Millis } from "@azureshunt/core";

/** The software versions that a service's endpoints have stated, as far back as they are known. */
export type VersionHistory = {
    /** All that were registered since then are known; `Infinity` while the registry is not current. */
    readonly coveredSince: Millis;
    /** By version: when it was first and last known to be registered. `undefined` is the version of entries without one. */
    readonly versions: ReadonlyMap<string | undefined, { readonly firstAt: Millis; readonly lastAt: Millis; }>;
};
