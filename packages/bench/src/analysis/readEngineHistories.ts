import { readFileSync } from "node:fs";

import type { EngineEntry } from "@azureshunt/standins";

import type { EngineHistory } from "./EngineHistory.js";

/** An engine and the file that it writes its history to. */
type HistoryFile = { readonly engine: string; readonly file: string; };

/** Reads the histories of engines from their files, of those that died too. A last line cut by a death is left out. */
export function readEngineHistories(files: readonly HistoryFile[]): readonly EngineHistory[] {
    return files.map(({ engine, file }) => ({
        engine,
        entries: readFileSync(file, "utf8").split("\n").slice(0, -1).map(line => JSON.parse(line) as EngineEntry),
    }));
}
