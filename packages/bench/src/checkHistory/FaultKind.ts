/**
 * Faults of daemons. `restart`: killed and started again soon. `replace`: killed, dropped from the platform's list, and
 * started anew later. `pause`: stopped for a while. `leave`: told to stop, and started again. `platform`: the log and the
 * list fall silent for a while.
 */
export type FaultKind = "restart" | "replace" | "pause" | "leave" | "platform";
