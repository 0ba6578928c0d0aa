/** Phase of a process: it begins as `starting`, and serves nobody as `starting` or `stopped`. */
export type LifecyclePhase = "starting" | "serving" | "draining" | "stopped";
