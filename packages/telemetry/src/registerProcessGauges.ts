import { readdirSync } from "node:fs";
import { getHeapStatistics } from "node:v8";

import { maxDescriptors } from "./maxDescriptors.js";
import type { Metrics } from "./Metrics.js";

/** In place of what the operating system does not tell. */
const UNKNOWN = -1;

const orUnknown = (read: () => number): number => {
    try {
        return read();
    }
    catch {
        return UNKNOWN;
    }
};

const openDescriptors = (): number => orUnknown(() => readdirSync("/proc/self/fd").length);

/** Registers the gauges of what a process may run out of; returns a function that unregisters them. */
export function registerProcessGauges(metrics: Pick<Metrics, "gauge">): () => void {
    const rows: readonly (readonly [name: string, help: string, read: () => number])[] = [
        ["heap_bytes", "Bytes in use of the JavaScript heap.", () => getHeapStatistics().used_heap_size],
        ["heap_limit_bytes", "Bytes that the JavaScript heap may use.", () => getHeapStatistics().heap_size_limit],
        ["resident_bytes", "Bytes of memory that the process holds.", () => process.memoryUsage.rss()],
        ["open_descriptors", "Descriptors that the process has open; -1 if not known.", openDescriptors],
        [
            "max_descriptors",
            "Descriptors that the process may have open; -1 if not known.",
            () => maxDescriptors() ?? UNKNOWN,
        ],
    ];
    const gauges = rows.map(([name, help, read]) => metrics.gauge(`azureshunt_${name}`, help, read));
    return () => gauges.forEach(unregister => unregister());
}
