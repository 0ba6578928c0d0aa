/**
 * What a suspect was doing at an endpoint that died.
 *
 * - `request`: the whole request was running there.
 * - `begun`: a part of a prompt whose answer had its head, but no event yet.
 * - `unsettled`: a part of a prompt that was waiting there, or whose first event had come a moment ago.
 */
export type SuspectStage = "request" | "begun" | "unsettled";
