import type { HandledSignal } from "./HandledSignal.js";
import type { StartContext } from "./StartContext.js";

/** Signals of one kind that are logged one by one in each second. */
const MAX_LINES = 5;
const WINDOW_MS = 1_000;

type Window = { lines: number; unlogged: number; };

/**
 * Returns a function that logs a signal with its fields. If hundreds of them come in a second, their lines would take the time of
 * requests and the place of others' lines, so only the first few are logged, and then how many more came.
 */
export function createSignalLog(
    log: StartContext["log"],
): (signal: HandledSignal, level: "info" | "warn", fields: object) => void {
    const windows = new Map<HandledSignal, Window>();
    const close = (signal: HandledSignal, { unlogged }: Window): void => {
        windows.delete(signal);
        if (unlogged > 0) {
            log("warn", { signal, times: unlogged }, "Received more of a signal than are logged one by one.");
        }
    };
    return (signal, level, fields) => {
        const window = windows.get(signal) ?? { lines: 0, unlogged: 0 };
        if (!windows.has(signal)) {
            windows.set(signal, window);
            setTimeout(() => close(signal, window), WINDOW_MS).unref();
        }
        if (window.lines === MAX_LINES) {
            window.unlogged += 1;
            return;
        }
        window.lines += 1;
        log(level, { signal, ...fields }, "Received a signal.");
    };
}
