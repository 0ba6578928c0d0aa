/** The platform's append-only log, as `@azureshunt/log` defines it. */
export type { LogPort } from "@azureshunt/log";
