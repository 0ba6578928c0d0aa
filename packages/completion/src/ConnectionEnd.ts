/**
 * How the connection of an answer ended, as far as this VM has seen: not yet, closed, reset, or with another error.
 */
export type ConnectionEnd = "open" | "closed" | "reset" | "failed";
