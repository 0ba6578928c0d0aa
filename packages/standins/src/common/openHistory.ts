import { openSync, writeSync } from "node:fs";

import type { History } from "./History.js";

/**
 * Opens a history in memory and, if a file is given, also in that file as JSON lines. Each line is passed to the
 * operating system before the answer is sent, so the history survives the death of its process by any signal.
 */
export function openHistory<Entry>(file: string | undefined): History<Entry> {
    const entries: Entry[] = [];
    const descriptor = file === undefined ? undefined : openSync(file, "a");
    const add = (entry: Entry): void => {
        entries.push(entry);
        if (descriptor !== undefined) {
            writeSync(descriptor, `${JSON.stringify(entry)}\n`);
        }
    };
    return { add, entries: () => entries };
}
