import type { DaemonContext } from "../ports/DaemonContext.js";

/** What the membership is started with: the context without the parts that are started later. */
export type MembershipParts = Pick<
    DaemonContext,
    "settings" | "incarnation" | "clock" | "random" | "logger" | "log" | "system" | "metrics"
>;
