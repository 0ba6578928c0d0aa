import type { HeapReadings } from "./HeapReadings.js";

/** Returns the state in which nothing has been read. */
export function initialHeapReadings(): HeapReadings {
    return {
        usedBytes: 0,
        liveBytes: undefined,
        level: "ordinary",
        reported: { level: "ordinary", at: -Infinity },
    };
}
