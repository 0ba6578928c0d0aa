import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

const usedBytes = (): number => {
    collectGarbage();
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

/** Bytes that what a function builds keeps alive. */
export function retainedBytes(build: () => unknown): number {
    const before = usedBytes();
    const kept = [build()];
    const bytes = usedBytes() - before;
    return kept.length === 1 ? bytes : 0;
}
