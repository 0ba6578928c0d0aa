import type { EngineEntry } from "@azureshunt/standins";

/** The history of one engine. */
export type EngineHistory = {
    readonly engine: string;
    readonly entries: readonly EngineEntry[];
};
