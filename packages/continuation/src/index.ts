/** At which endpoints a stream that has begun may go on after a break. */
export { createStreamKeeper } from "./createStreamKeeper.js";
export { mayContinueAt } from "./mayContinueAt.js";
export type { RecordedVersions } from "./RecordedVersions.js";
export type { StreamOrigin } from "./StreamOrigin.js";
