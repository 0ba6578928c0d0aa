import type { OrganisationId } from "@azureshunt/core";

import type { LoadKind } from "./LoadKind.js";

/** Requests of one kind and organisation whose heads were read since the last tick. */
export type KindArrivals = {
    readonly kind: LoadKind;
    /** `undefined` for callers without a valid key. */
    readonly organisation?: OrganisationId | undefined;
    readonly count: number;
};
