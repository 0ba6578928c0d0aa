/** A checker of histories of concurrent runs. It shares no code with what it checks. */
export { judgeSpending } from "./judgeSpending.js";
export type { ModelRun } from "./ModelRun.js";
export type { SpendingLimit } from "./SpendingLimit.js";
export type { SpendingVerdict } from "./SpendingVerdict.js";
