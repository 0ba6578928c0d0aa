import type { ServiceName } from "@azureshunt/core";

/** The software versions that a service has had lately, as they are kept in the store. */
export type RecordedVersions = {
    readonly service: ServiceName;
    /** Sorted; `null` is the version of entries that state none. */
    readonly versions: readonly (string | null)[];
};
