import type { Clock } from "@azureshunt/core";
import { initialHeapReadings, stepHeapReadings } from "@azureshunt/flow";
import type { HeapLevel } from "@azureshunt/flow";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { HeapPart } from "./HeapPart.js";

type HeapWatchParts = {
    readonly clock: Pick<Clock, "now">;
    /** Bytes that the heap may use. */
    readonly limitBytes: number;
    /** Reads the bytes in use of the heap. */
    readonly usedBytes: () => number;
    /** Calls back soon after each full collection. */
    readonly observeCollections: (onCollected: () => void) => void;
    /** Reads the bytes in use of each space of the heap, by name; none if omitted. */
    readonly spaceBytes?: () => Readonly<Record<string, number>>;
    readonly logger: Pick<Logger, "warn">;
    /** Has the lines so far written without waiting for more. */
    readonly writeLines?: () => void;
    readonly metrics: Pick<Metrics, "gauge">;
};

/** What the heap holds. */
type HeapWatch = {
    readonly limitBytes: number;
    /** Registers a part that is counted in reports; returns a function that unregisters it. */
    readonly register: (part: string, read: () => HeapPart) => () => void;
    readonly tick: () => void;
    /** Bytes in use now, with what is not collected yet. */
    readonly usedBytes: () => number;
    /** Bytes in use right after the last full collection; before the first one, those in use now. */
    readonly liveBytes: () => number;
};

/** By what an item counts in the order of parts whose bytes are not known. */
const ITEM_BYTES = 1_024;

const sizeOf = ({ count, bytes = count * ITEM_BYTES }: HeapPart): number => bytes;

/**
 * Watches how full the heap is, and logs what it holds from the levels on at which it may run out. V8 ends a process
 * without an event at the limit of its heap, so the lines are written as soon as a level is entered.
 */
export function createHeapWatch({
    clock,
    limitBytes,
    usedBytes,
    observeCollections,
    spaceBytes = () => ({}),
    logger,
    writeLines = () => undefined,
    metrics,
}: HeapWatchParts): HeapWatch {
    const parts = new Map<string, () => HeapPart>();
    const state = { readings: initialHeapReadings() };
    const liveBytes = (): number => state.readings.liveBytes ?? usedBytes();

    const report = (level: HeapLevel): void => {
        const held = [...parts]
            .map(([part, read]) => [part, read()] as const)
            .filter(([, { count, bytes = 0 }]) => count > 0 || bytes > 0)
            .sort(([, a], [, b]) => sizeOf(b) - sizeOf(a));
        logger.warn({
            level,
            usedBytes: state.readings.usedBytes,
            liveBytes: liveBytes(),
            limitBytes,
            spaces: spaceBytes(),
            parts: Object.fromEntries(held),
        }, "The heap is nearly full.");
        writeLines();
    };
    const apply = (kind: "read" | "collected"): void => {
        const step = stepHeapReadings(state.readings, { kind, usedBytes: usedBytes(), limitBytes }, clock.now());
        state.readings = step.state;
        if (step.report !== undefined) {
            report(step.report);
        }
    };
    observeCollections(() => apply("collected"));
    metrics.gauge(
        "azureshunt_heap_live_bytes",
        "Bytes in use of the JavaScript heap after the last full collection.",
        liveBytes,
    );
    return {
        limitBytes,
        register: (part, read) => {
            parts.set(part, read);
            const unregister = metrics.gauge(
                "azureshunt_heap_part",
                "Items that a part of the process holds.",
                () => read().count,
                { part },
            );
            return () => {
                parts.delete(part);
                unregister();
            };
        },
        tick: () => apply("read"),
        usedBytes,
        liveBytes,
    };
}
