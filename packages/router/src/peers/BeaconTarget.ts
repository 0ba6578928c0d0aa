import type { VmId } from "@azureshunt/core";

/** Where a beacon goes, and to whom where that is known. */
export type BeaconTarget = { readonly address: string; readonly vm: VmId | undefined; };
