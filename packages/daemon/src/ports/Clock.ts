/** The two clocks, as `@azureshunt/core` defines them. */
export type { Clock } from "@azureshunt/core";
