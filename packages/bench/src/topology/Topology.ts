import type { DaemonProcess } from "./DaemonProcess.js";
import type { ManagedProcess } from "./ManagedProcess.js";

/** A running stand-in of an endpoint. */
type EndpointProcess = ManagedProcess & {
    readonly kind: "model" | "service" | "cache";
    readonly failureDomain: string;
    readonly url: string;
};

/** Processes that stand for a whole installation. */
export type Topology = {
    readonly platform: ManagedProcess & { readonly url: string; };
    readonly endpoints: readonly EndpointProcess[];
    readonly daemons: readonly DaemonProcess[];
    readonly adminKey: string;
    /** Ends all processes, daemons first and gracefully. */
    readonly stop: () => Promise<void>;
};
