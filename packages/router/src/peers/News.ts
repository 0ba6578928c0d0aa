import type { Beacon } from "./Beacon.js";

/** What a beacon says besides who sends it and to whom. */
export type News = Omit<
    Beacon,
    "vm" | "incarnation" | "failureDomain" | "sequence" | "sentAt" | "upMs" | "echo" | "members" | "isLeaving"
>;
