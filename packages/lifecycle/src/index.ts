/** What a process does when it is told something, misses something or fails, in each phase of its life. */
export type { Application } from "./Application.js";
export type { ExitCause } from "./ExitCause.js";
export { exitCodeOf } from "./exitCodeOf.js";
export type { HandledSignal } from "./HandledSignal.js";
export { initialLifecycle } from "./initialLifecycle.js";
export type { LifecycleEffect } from "./LifecycleEffect.js";
export type { LifecycleEvent } from "./LifecycleEvent.js";
export type { LifecyclePhase } from "./LifecyclePhase.js";
export type { LifecycleState } from "./LifecycleState.js";
export type { LifecycleTelemetry } from "./LifecycleTelemetry.js";
export type { ManagedPart } from "./ManagedPart.js";
export { runLifecycle } from "./runLifecycle.js";
export type { StartContext } from "./StartContext.js";
export { StartFailure } from "./StartFailure.js";
export { stepLifecycle } from "./stepLifecycle.js";
export { stopParts } from "./stopParts.js";
