import type { CallerConnectionState } from "./CallerConnectionState.js";

/** Numbers of callers' connections by state; states without a connection are left out. */
export type ConnectionCounts = Readonly<Partial<Record<CallerConnectionState, number>>>;
