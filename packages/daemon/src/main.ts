/**
 * Entry point of the daemon: `azureshuntd --settings FILE`. Exit codes: 0 stopped, 1 start failed, 2 wrong usage or settings,
 * 70 an error that nothing caught.
 */
// Nothing else is loaded before the signals are handled.
import { holdSignals } from "@azureshunt/lifecycle/holdSignals";

const signals = holdSignals();
void import("@azureshunt/lifecycle/runLifecycle").then(({ runLifecycle }) =>
    runLifecycle({ signals, start: async context => (await import("./startProgram.js")).startProgram(context) })
);
