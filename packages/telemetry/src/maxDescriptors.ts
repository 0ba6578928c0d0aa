import { readFileSync } from "node:fs";

const LIMIT = /^Max open files\s+(\d+)/m;

/** Returns how many descriptors the process may have open; `undefined` if the operating system does not tell. */
export function maxDescriptors(): number | undefined {
    try {
        const limit = LIMIT.exec(readFileSync("/proc/self/limits", "utf8"))?.[1];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        return undefined;
    }
}
