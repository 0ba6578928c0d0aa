import test from "ava";

import { initialLifecycle } from "../../initialLifecycle.js";
import type { LifecycleEffect } from "../../LifecycleEffect.js";
import type { LifecycleEvent } from "../../LifecycleEvent.js";
import type { LifecyclePhase } from "../../LifecyclePhase.js";
import type { LifecycleState } from "../../LifecycleState.js";
import { stepLifecycle } from "../../stepLifecycle.js";

const EVENTS = {
    SIGHUP: { kind: "signal", signal: "SIGHUP" },
    SIGTERM: { kind: "signal", signal: "SIGTERM" },
    SIGINT: { kind: "signal", signal: "SIGINT" },
    SIGQUIT: { kind: "signal", signal: "SIGQUIT" },
    SIGUSR2: { kind: "signal", signal: "SIGUSR2" },
    started: { kind: "started" },
    "settings wrong": { kind: "start-failed", cause: "bad-settings" },
    "uncaught error": { kind: "uncaught-error" },
    drained: { kind: "drained" },
    "drain overdue": { kind: "drain-overdue" },
} as const satisfies Readonly<Record<string, LifecycleEvent>>;

type EventName = keyof typeof EVENTS;

const run = (names: readonly EventName[]): { readonly state: LifecycleState; readonly effects: readonly string[]; } =>
    names.reduce<{ readonly state: LifecycleState; readonly effects: readonly string[]; }>(
        ({ state, effects }, name) => {
            const step = stepLifecycle(state, EVENTS[name]);
            return { state: step.state, effects: [...effects, ...step.effects.map(textOf)] };
        },
        { state: initialLifecycle, effects: [] },
    );
const textOf = (effect: LifecycleEffect): string => effect.kind === "exit" ? `exit: ${effect.cause}` : effect.kind;

type Case = readonly [events: readonly EventName[], phase: LifecyclePhase, effects: readonly string[]];

const ABORTED = ["SIGTERM"] as const;
const SERVING = ["started"] as const;
const DRAINING = ["started", "SIGTERM"] as const;
const FAILED = ["started", "uncaught error"] as const;
const STOPPED = ["started", "SIGTERM", "drained"] as const;
const STOP = ["drain", "exit: signal"];
const CUT = ["cut", "exit: uncaught-error"];

const cases: readonly Case[] = [
    [["SIGHUP"], "starting", []],
    [["SIGHUP", "SIGHUP", "started"], "serving", ["reload"]],
    [["SIGTERM"], "draining", ["abort-start"]],
    [["SIGINT"], "draining", ["abort-start"]],
    [["SIGQUIT"], "draining", ["abort-start"]],
    [["SIGUSR2"], "starting", []],
    [["started"], "serving", []],
    [["settings wrong"], "stopped", ["exit: bad-settings"]],
    [["uncaught error"], "stopped", ["exit: uncaught-error"]],
    [["drained"], "starting", []],

    [[...ABORTED, "SIGTERM", "SIGHUP"], "draining", ["abort-start"]],
    [[...ABORTED, "started"], "draining", ["abort-start", "drain"]],
    [[...ABORTED, "started", "drained"], "stopped", ["abort-start", ...STOP]],
    [[...ABORTED, "settings wrong"], "stopped", ["abort-start", "exit: signal"]],
    [[...ABORTED, "uncaught error"], "stopped", ["abort-start", ...CUT]],
    [[...ABORTED, "drain overdue"], "stopped", ["abort-start", "cut", "exit: signal"]],
    [[...ABORTED, "started", "uncaught error"], "draining", ["abort-start", "drain", "refuse"]],
    [["SIGHUP", ...ABORTED, "started"], "draining", ["abort-start", "drain"]],

    [[...SERVING, "SIGHUP"], "serving", ["reload"]],
    [[...SERVING, "SIGTERM"], "draining", ["drain"]],
    [[...SERVING, "SIGINT"], "draining", ["drain"]],
    [[...SERVING, "SIGQUIT"], "draining", ["drain"]],
    [[...SERVING, "SIGUSR2"], "serving", []],
    [[...SERVING, "uncaught error"], "draining", ["refuse", "drain"]],
    [[...SERVING, "drained"], "serving", []],

    [[...DRAINING, "SIGTERM"], "draining", ["drain"]],
    [[...DRAINING, "SIGINT"], "draining", ["drain"]],
    [[...DRAINING, "SIGHUP"], "draining", ["drain"]],
    [[...DRAINING, "SIGUSR2"], "draining", ["drain"]],
    [[...DRAINING, "drained"], "stopped", STOP],
    [[...DRAINING, "drain overdue"], "stopped", ["drain", "cut", "exit: signal"]],
    [[...DRAINING, "uncaught error"], "draining", ["drain", "refuse"]],
    [[...DRAINING, "uncaught error", "drained"], "stopped", ["drain", "refuse", "exit: uncaught-error"]],

    [[...FAILED, "SIGTERM", "drained"], "stopped", ["refuse", "drain", "exit: uncaught-error"]],
    [[...FAILED, "drain overdue"], "stopped", ["refuse", "drain", ...CUT]],

    [[...STOPPED, "SIGTERM", "SIGHUP", "uncaught error", "drain overdue"], "stopped", STOP],
];

// Guards against a signal, an error or a missing file ending a process in a phase in which nothing handles it.
cases.forEach(([events, phase, effects]) => {
    test(`life cycle: ${events.join(", ")}: ${phase}`, t => {
        const { state, effects: performed } = run(events);
        t.is(state.phase, phase);
        t.deepEqual(performed, effects);
    });
});

// Guards against callers held by a process that fails again and again while it stops.
test("life cycle: a process that keeps failing while it drains ends before its time to stop is up", t => {
    const { state, effects } = run([...SERVING, ...Array.from({ length: 10 }, () => "uncaught error" as const)]);
    t.is(state.phase, "stopped");
    t.deepEqual(effects.slice(-2), CUT);
});
