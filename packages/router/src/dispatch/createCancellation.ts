import type { CancelSignal } from "./CancelSignal.js";

/** Creates a signal and the function that aborts it; each listener is called once, unless it was added afterwards. */
export function createCancellation(): { readonly signal: CancelSignal; readonly abort: () => void; } {
    const listeners = new Set<() => void>();
    const signal = {
        aborted: false,
        addEventListener: (_kind: "abort", listener: () => void) => void listeners.add(listener),
        removeEventListener: (_kind: "abort", listener: () => void) => void listeners.delete(listener),
    };
    const abort = (): void => {
        if (signal.aborted) {
            return;
        }
        signal.aborted = true;
        const called = [...listeners];
        listeners.clear();
        called.forEach(listener => listener());
    };
    return { signal, abort };
}
