import type { ManagedProcess } from "./ManagedProcess.js";

/** A daemon's VM in a topology, whether a daemon runs there at the moment or not. */
export type DaemonProcess = {
    readonly vm: string;
    readonly failureDomain: string;
    /** Base URL of the callers' listener. */
    readonly caller: string;
    /** Base URL of the administration listener. */
    readonly admin: string;
    readonly peer: string;
    readonly settingsFile: string;
    readonly logFile: string;
    /** The newest process on this VM. */
    readonly process: () => ManagedProcess;
    /** Starts a new process on this VM. */
    readonly restart: () => void;
};
