import type { Beacon } from "./Beacon.js";

/**
 * State that is relayed row by row, as it was received: rows of `cached` once, rows of `ordered` as long as they
 * arrive.
 */
export type RelayedRows = Pick<Beacon, "cached" | "ordered">;
