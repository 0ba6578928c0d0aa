/**
 * How far an endpoint's answer was when a try ended.
 *
 * - `waiting`: no byte of it had arrived.
 * - `begun`: its head had arrived, but no event.
 * - `unsettled`: its first event had arrived a moment ago.
 * - `answering`: the endpoint had been sending events for a while.
 */
export type TryStage = "waiting" | "begun" | "unsettled" | "answering";
