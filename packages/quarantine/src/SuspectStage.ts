/**
 * What a suspect was doing at an endpoint that died.
 *
 * - `request`: the whole request was running there.
 * - `begun`: a part of a prompt whose answer had just begun.
 * - `waiting`: a part of a prompt whose answer had not begun.
 */
export type SuspectStage = "request" | "begun" | "waiting";
