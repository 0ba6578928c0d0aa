/** Checks histories of concurrent runs. It shares no code with the software that it checks. */
export { checkSpending } from "./checkSpending.js";
export type { ModelRun } from "./ModelRun.js";
export { checkRequests } from "./requests/checkRequests.js";
export type { RequestEvent } from "./requests/RequestEvent.js";
export type { Violation } from "./requests/Violation.js";
export type { SpendingLimit } from "./SpendingLimit.js";
export type { SpendingResult } from "./SpendingResult.js";
