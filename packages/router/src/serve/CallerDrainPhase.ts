/**
 * Steps of a drain: the balancer learns of it while the port is open as before; requests are held while the connections
 * are accepted that wait in the system's queue; the port is closed, and what is open ends; nothing is open any more, or
 * the time is up.
 */
export type CallerDrainPhase = "announcing" | "accepting" | "lingering" | "ended";
