/**
 * Steps of a drain. `announcing`: the balancer learns of it, and the port is open as before. `accepting`: the connections
 * that wait in the system's queue are accepted, and their requests are held. `lingering`: the port is closed, and what is
 * open ends. `ended`: nothing is open any more, or the time is up.
 */
export type CallerDrainPhase = "announcing" | "accepting" | "lingering" | "ended";
