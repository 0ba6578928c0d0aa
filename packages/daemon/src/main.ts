/**
 * Entry point of the daemon: `azureshuntd --settings FILE`. Exit codes: 0 stopped, 1 start failed, 2 wrong usage or settings,
 * 70 an error that nothing caught.
 */
// Each module loaded before the signals are handled leaves them to the operating system for longer.
import { runLifecycle } from "@azureshunt/lifecycle/runLifecycle";

runLifecycle({ start: async context => (await import("./startProgram.js")).startProgram(context) });
