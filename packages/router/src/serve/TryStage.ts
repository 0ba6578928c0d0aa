/**
 * How far an endpoint's answer was when a try ended.
 *
 * - `waiting`: no byte of it had arrived.
 * - `begun`: its head had arrived, or its first event a moment ago.
 * - `answering`: the endpoint had been sending events for a while.
 */
export type TryStage = "waiting" | "begun" | "answering";
