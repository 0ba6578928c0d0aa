/** How full the heap is: the highest level that has been entered and not left; see `heapLevels`. */
export type HeapLevel = "ordinary" | "raised" | "high" | "critical";
