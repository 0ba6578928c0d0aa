/** The platform's append-only log, as `@azureshunt/platform` defines it. */
export type { LogPort } from "@azureshunt/platform";
