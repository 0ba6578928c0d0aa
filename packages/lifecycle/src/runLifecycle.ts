import type { Millis } from "@azureshunt/core";

import type { Application } from "./Application.js";
import { closeInspector } from "./closeInspector.js";
import { createLifecycleLog } from "./createLifecycleLog.js";
import { createSignalLog } from "./createSignalLog.js";
import type { ExitCause } from "./ExitCause.js";
import { exitCodeOf } from "./exitCodeOf.js";
import type { HandledSignal } from "./HandledSignal.js";
import { handlePendingSignals } from "./handlePendingSignals.js";
import { hasTerminal } from "./hasTerminal.js";
import type { HeldSignals } from "./HeldSignals.js";
import { initialLifecycle } from "./initialLifecycle.js";
import { inspectorUrl } from "./inspectorUrl.js";
import type { LifecycleEffect } from "./LifecycleEffect.js";
import type { LifecycleEvent } from "./LifecycleEvent.js";
import type { LifecyclePhase } from "./LifecyclePhase.js";
import { runSpaced } from "./runSpaced.js";
import { signalMeanings } from "./signalMeanings.js";
import type { StartContext } from "./StartContext.js";
import { StartFailure } from "./StartFailure.js";
import { startTimeout } from "./startTimeout.js";
import { stepLifecycle } from "./stepLifecycle.js";
import { terminalSignals } from "./terminalSignals.js";

type LifecycleParts = {
    /** The signals of the process, which its entry point handles before it loads the life cycle. */
    readonly signals: HeldSignals;
    /**
     * Starts the program. Rejects if it cannot be started, with a `StartFailure` if the cause is known, and also if
     * `signal` is aborted before callers could connect; then, nothing of the program runs any more.
     */
    readonly start: (context: StartContext) => Promise<Application>;
};

const PHASES: readonly LifecyclePhase[] = ["starting", "serving", "draining", "stopped"];
const MS_PER_SECOND = 1_000;
/** Shortest time between two reads of the settings, which take the time of requests. */
const RELOAD_MS = 200;
const REJECTION = "unhandledRejection";
/** Longest time until a start that is given up has stopped what it had started. */
const MAX_ABORT_MS = 5_000;

/**
 * Runs a program from its first step to the end of its process. Signals that came before this call, and signals and
 * uncaught errors of the process from now on, are handled as `stepLifecycle` decides in each phase.
 */
export function runLifecycle({ signals, start }: LifecycleParts): void {
    const lifecycleLog = createLifecycleLog();
    const { log, count } = lifecycleLog;
    const logSignal = createSignalLog(log);
    const startedAtSeconds = Date.now() / MS_PER_SECOND - process.uptime();
    const startAbort = new AbortController();
    const state = {
        current: initialLifecycle,
        application: undefined as Application | undefined,
        startMs: undefined as number | undefined,
        cancelOverdue: (): void => undefined,
    };

    const exit = async (cause: ExitCause): Promise<void> => {
        const code = exitCodeOf(cause);
        try {
            log("info", { cause, code, upMs: upMs() }, "The process ends.");
            await lifecycleLog.flush();
        }
        finally {
            process.exit(code);
        }
    };
    const endWithin = (ms: Millis): void => {
        state.cancelOverdue();
        state.cancelOverdue = startTimeout(ms, () => apply({ kind: "drain-overdue" }));
    };
    const reload = runSpaced(RELOAD_MS, () => {
        if (state.current.phase === "serving") {
            state.application?.reload();
        }
    });
    const drain = (application: Application): void => {
        endWithin(application.stopMs());
        application.drain().then(
            () => apply({ kind: "drained" }),
            (err: unknown) => {
                log("error", { err }, "Stopping the parts failed.");
                apply({ kind: "drained" });
            },
        );
    };
    const perform = (effect: LifecycleEffect): void => {
        const { application } = state;
        switch (effect.kind) {
            case "reload":
                reload();
                return;
            case "abort-start":
                startAbort.abort();
                endWithin(MAX_ABORT_MS);
                return;
            case "refuse":
                application?.refuse();
                return;
            case "drain":
                if (application !== undefined) {
                    drain(application);
                }
                return;
            case "cut":
                application?.cut();
                return;
            case "exit":
                void exit(effect.cause);
        }
    };
    /** An effect that fails must not keep the others from being performed, nor end the process while it handles an error. */
    const tryPerform = (effect: LifecycleEffect): void => {
        try {
            perform(effect);
        }
        catch (err) {
            log("error", { err, effect: effect.kind }, "An effect of the life cycle failed.");
        }
    };
    const upMs = (): number => Math.round(process.uptime() * MS_PER_SECOND);
    const apply = (event: LifecycleEvent): void => {
        const { phase } = state.current;
        const step = stepLifecycle(state.current, event);
        state.current = step.state;
        if (step.state.phase !== phase) {
            log("info", { from: phase, to: step.state.phase, event: event.kind, upMs: upMs() }, "The phase changed.");
        }
        step.effects.forEach(tryPerform);
    };

    const onSignal = (signal: HandledSignal): void => {
        const { phase } = state.current;
        const meaning = signalMeanings[signal];
        logSignal(signal, meaning === "none" ? "warn" : "info", { phase, meaning, upMs: upMs() });
        count("azureshunt_signals_total", "Signals that the process has received, by phase.", { signal, phase });
        apply({ kind: "signal", signal });
    };
    const onUncaughtError = (err: unknown, origin: string): void => {
        const { phase } = state.current;
        const logError = (thrown: unknown): void =>
            log(
                "fatal",
                { err: thrown, origin, phase },
                "An error was not caught; its cause is a fault of this program.",
            );
        try {
            logError(err);
        }
        catch (unreadable) {
            // What was thrown cannot be read. An error in this handler would end the process at once.
            logError(unreadable);
        }
        count("azureshunt_uncaught_errors_total", "Errors that nothing has caught, by phase.", { phase });
        apply({ kind: "uncaught-error" });
    };
    // With a terminal its user may suspend the process; a handled SIGTTOU would come again with each line written there.
    if (hasTerminal()) {
        signals.release(terminalSignals);
    }
    const logClosedInspector = (): void =>
        log("warn", {}, "Closed Node's inspector: a signal while Node started or NODE_OPTIONS had opened it.");
    if (signals.hasClosedInspector) {
        logClosedInspector();
    }
    /** Called again and again in the start: for one signal, Node opens the inspector by an interrupt and again in the event loop. */
    const closeOpenInspector = (): void => {
        if (closeInspector(process.execArgv)) {
            signals.renew("SIGPROF");
            logClosedInspector();
        }
    };
    closeOpenInspector();
    // By default, Node throws the errors of rejected promises that nothing handles; `NODE_OPTIONS` may hold that it ignores them, or
    // does both, so they are taken here alone.
    process.on("uncaughtException", (err, origin) => {
        if (origin !== REJECTION) {
            onUncaughtError(err, origin);
        }
    });
    process.on(REJECTION, err => onUncaughtError(err, REJECTION));

    const context: StartContext = {
        signal: startAbort.signal,
        log,
        count,
        observe: telemetry => {
            lifecycleLog.observe(telemetry);
            closeOpenInspector();
            void handlePendingSignals(new AbortController().signal).then(closeOpenInspector);
            const { metrics } = telemetry;
            metrics.gauge(
                "azureshunt_process_start_time_seconds",
                "When the process was started, in seconds since the epoch.",
                () => startedAtSeconds,
            );
            metrics.gauge(
                "azureshunt_inspector_open",
                "1 while Node's inspector listens, which runs code for whoever reaches it.",
                () => inspectorUrl() === undefined ? 0 : 1,
            );
            metrics.gauge(
                "azureshunt_start_ms",
                "Time from the start of the process until all its parts ran; -1 until then.",
                () => state.startMs ?? -1,
            );
            PHASES.forEach(phase =>
                metrics.gauge(
                    "azureshunt_lifecycle_phase",
                    "1 for the phase that the process is in.",
                    () => state.current.phase === phase ? 1 : 0,
                    { phase },
                )
            );
        },
    };
    const onStartFailed = (err: unknown): void => {
        if (startAbort.signal.aborted) {
            log("info", {}, "The start was given up: the process was told to stop.");
            apply({ kind: "start-failed", cause: "signal" });
            return;
        }
        if (err instanceof StartFailure) {
            log("fatal", {}, err.message);
            apply({ kind: "start-failed", cause: err.exitCause });
            return;
        }
        log("fatal", { err }, "The start failed.");
        apply({ kind: "start-failed", cause: "start-failed" });
    };
    signals.take(onSignal);
    start(context).then(application => {
        state.application = application;
        state.startMs = upMs();
        closeOpenInspector();
        apply({ kind: "started" });
    }, onStartFailed);
}
