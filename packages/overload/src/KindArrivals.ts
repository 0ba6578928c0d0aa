import type { LoadKind } from "./LoadKind.js";

/** Requests of one kind whose heads were read since the last tick. */
export type KindArrivals = { readonly kind: LoadKind; readonly count: number; };
