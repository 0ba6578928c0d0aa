import type { EngineEntry } from "@azureshunt/standins";

/** History entries of one engine, oldest first. */
export type EngineHistory = {
    readonly engine: string;
    readonly entries: readonly EngineEntry[];
};
