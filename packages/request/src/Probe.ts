/** What asking a process once whether it lives shows; `unclear` where it may be about to go, or was not reached. */
export type Probe = "alive" | "dead" | "unclear";
