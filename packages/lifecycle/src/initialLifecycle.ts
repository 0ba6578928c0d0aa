import type { LifecycleState } from "./LifecycleState.js";

/** A process that has begun to start. */
const initialLifecycle: LifecycleState = {
    phase: "starting",
    cause: undefined,
    hasStarted: false,
    isReloadDue: false,
    uncaughtErrors: 0,
};

export { initialLifecycle };
