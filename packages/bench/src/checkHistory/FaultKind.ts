/**
 * Injected faults. `restart`: a daemon is killed and restarted within a second. `replace`: a daemon is killed, removed
 * from the platform's VM list, and restarted and listed again later. `pause`: a daemon is suspended. `leave`: a daemon is
 * shut down in order and restarted. `platform`: the platform's log and VM list stop responding for some seconds.
 */
export type FaultKind = "restart" | "replace" | "pause" | "leave" | "platform";
