import type { ManagedProcess } from "./ManagedProcess.js";

/** A VM of a topology on which a daemon runs; the daemon may be stopped at the moment. */
export type DaemonProcess = {
    readonly vm: string;
    readonly failureDomain: string;
    /** Base URL of the listener for callers. */
    readonly caller: string;
    /** Base URL of the administration listener. */
    readonly admin: string;
    /** Address of the listener for peers, `host:port`. */
    readonly peer: string;
    readonly settingsFile: string;
    readonly logFile: string;
    /** The process started last on this VM. */
    readonly process: () => ManagedProcess;
    /** Starts a new process on this VM. */
    readonly restart: () => void;
};
