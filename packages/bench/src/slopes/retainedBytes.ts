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

/** Returns the bytes of memory that the result of a function retains. */
export function retainedBytes(build: () => unknown): number {
    const before = usedBytes();
    const retained = [build()];
    const bytes = usedBytes() - before;
    return retained.length === 1 ? bytes : 0;
}
