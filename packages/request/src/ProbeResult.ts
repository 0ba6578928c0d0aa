/** Result of probing a process once. `unclear`: it may be dying, or the probe did not reach it. */
export type ProbeResult = "alive" | "dead" | "unclear";
