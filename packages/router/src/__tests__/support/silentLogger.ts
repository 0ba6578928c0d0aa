import { createLoggers } from "@azureshunt/telemetry";

/** A logger that writes nothing. */
const silentLogger = createLoggers("silent", { vm: "vm", failureDomain: "fd", incarnation: "run" })("test");

export { silentLogger };
