import { readFileSync } from "node:fs";

import type { EngineEntry } from "@azureshunt/standins";

import type { EngineHistory } from "./EngineHistory.js";

/** History file written by an engine. */
type HistoryFile = { readonly engine: string; readonly file: string; };

/** Reads engine histories from files, also those of engines that died. A last line cut off by a death is left out. */
export function readEngineHistories(files: readonly HistoryFile[]): readonly EngineHistory[] {
    return files.map(({ engine, file }) => ({
        engine,
        entries: readFileSync(file, "utf8").split("\n").slice(0, -1).map(line => JSON.parse(line) as EngineEntry),
    }));
}
