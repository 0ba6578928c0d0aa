import type { DaemonContext } from "../ports/DaemonContext.js";

/** Dependencies of the membership: the daemon's context without the parts that start later. */
export type MembershipParts = Pick<
    DaemonContext,
    "settings" | "incarnation" | "clock" | "random" | "logger" | "log" | "system" | "metrics"
>;
