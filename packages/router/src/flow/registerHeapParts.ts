import type { createHeapWatch } from "./createHeapWatch.js";
import type { HeapPart } from "./HeapPart.js";

/** Registers parts by name; each is read as the number of its items, or with their bytes. */
export function registerHeapParts(
    heapWatch: Pick<ReturnType<typeof createHeapWatch>, "register">,
    parts: Readonly<Record<string, () => number | HeapPart>>,
): void {
    Object.entries(parts).forEach(([part, read]) =>
        heapWatch.register(part, () => {
            const held = read();
            return typeof held === "number" ? { count: held } : held;
        })
    );
}
