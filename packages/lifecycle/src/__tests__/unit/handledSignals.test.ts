import test from "ava";

import { handledSignals } from "../../handledSignals.js";

// Guards against a handler that takes a signal from the part of Node or V8 that needs it, under some flags alone.
([
    ["SIGPROF", [], true],
    ["SIGPROF", ["--cpu-prof-dir=x"], true],
    ["SIGPROF", ["--no-hard-abort", "--cpu-prof"], false],
    ["SIGPROF", ["--cpu_prof"], false],
    ["SIGPROF", ["--prof"], false],
    ["SIGTRAP", [], false],
    ["SIGTRAP", ["--cpu-prof"], false],
    ["SIGTRAP", ["--no-hard-abort"], true],
    ["SIGTERM", ["--cpu-prof"], true],
] as const).forEach(([signal, flags, isHandled]) => {
    test(`handled signals: ${signal} with the flags [${flags.join(" ")}]: ${isHandled ? "yes" : "no"}`, t => {
        t.is(handledSignals(flags).includes(signal), isHandled);
    });
});
