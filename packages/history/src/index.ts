/** A checker of histories of concurrent runs. It shares no code with what it checks. */
export { judgeSpending } from "./judgeSpending.js";
export type { ModelRun } from "./ModelRun.js";
export { checkRequests } from "./requests/checkRequests.js";
export type { RequestEvent } from "./requests/RequestEvent.js";
export type { Violation } from "./requests/Violation.js";
export type { SpendingLimit } from "./SpendingLimit.js";
export type { SpendingVerdict } from "./SpendingVerdict.js";
