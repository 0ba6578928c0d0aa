/**
 * Entry point of the daemon: `azureshuntd --settings FILE`. Exit codes: 0 stopped, 1 start failed, 2 wrong usage or settings,
 * 70 an error that nothing caught.
 */
import { runLifecycle } from "@azureshunt/lifecycle";

// All else is loaded once signals are handled.
runLifecycle({ start: async context => (await import("./startProgram.js")).startProgram(context) });
