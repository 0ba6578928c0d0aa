import { openSync, writeSync } from "node:fs";

import type { History } from "./History.js";

/**
 * Opens a history that is kept in memory, and in a file of JSON lines as well where one is given. Each line is handed to
 * the operating system before the answer leaves, so a history survives the death of its process by any signal.
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
