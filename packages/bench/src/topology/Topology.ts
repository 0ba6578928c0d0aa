import type { DaemonProcess } from "./DaemonProcess.js";
import type { ManagedProcess } from "./ManagedProcess.js";

/** A running stand-in for an endpoint. */
type EndpointProcess = ManagedProcess & {
    readonly kind: "model" | "service" | "cache";
    readonly failureDomain: string;
    readonly url: string;
};

/** The running processes of a complete installation: platform, endpoints and daemons. */
export type Topology = {
    readonly platform: ManagedProcess & { readonly url: string; };
    readonly endpoints: readonly EndpointProcess[];
    readonly daemons: readonly DaemonProcess[];
    readonly adminKey: string;
    /** Ends all processes with SIGTERM, and with SIGKILL if they do not end in time; daemons first. */
    readonly stop: () => Promise<void>;
};
