import type { Millis } from "@azureshunt/core";

/** Part of the shutdown time that is left when requests that still run are aborted, and tunnels of other VMs reset. */
const stopMarginMs: Millis = 700;

export { stopMarginMs };
