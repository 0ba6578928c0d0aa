import { closeInspector } from "./closeInspector.js";
import type { HandledSignal } from "./HandledSignal.js";
import { handledSignals } from "./handledSignals.js";
import type { HeldSignals } from "./HeldSignals.js";

/**
 * Handles the signals of this process from now on, and keeps those that come until they are taken. Called as the first line of a
 * program, before anything else is loaded: until then, most signals end the process or suspend it.
 */
export function holdSignals(): HeldSignals {
    const received: HandledSignal[] = [];
    const state = { onSignal: (signal: HandledSignal): void => void received.push(signal) };
    const onSignal = (signal: HandledSignal): void => state.onSignal(signal);
    const handled = new Set(handledSignals(process.execArgv));
    const renew = (signal: HandledSignal): void => {
        if (handled.has(signal)) {
            process.off(signal, onSignal).on(signal, onSignal);
        }
    };
    handled.forEach(signal => process.on(signal, onSignal));
    // After the others, as it loads a module: while the inspector listens, Node takes no handler of SIGPROF.
    const hasClosedInspector = closeInspector(process.execArgv);
    if (hasClosedInspector) {
        renew("SIGPROF");
    }
    return {
        hasClosedInspector,
        take: taker => {
            state.onSignal = taker;
            received.splice(0).forEach(taker);
        },
        release: signals =>
            signals.forEach(signal => {
                handled.delete(signal);
                process.off(signal, onSignal);
            }),
        renew,
    };
}
