/** Tokens that an organisation may still spend, and grants of them from home VMs to others. */
export type { Allowance } from "./Allowance.js";
export type { AllowanceEffect } from "./AllowanceEffect.js";
export type { AllowanceEvent } from "./AllowanceEvent.js";
export { availableTokens } from "./availableTokens.js";
export type { Bucket } from "./Bucket.js";
export type { ChargePart } from "./ChargePart.js";
export type { GrantAnswer } from "./GrantAnswer.js";
export type { GrantAsk } from "./GrantAsk.js";
export type { HandedBucket } from "./HandedBucket.js";
export type { Home } from "./Home.js";
export type { HomeView } from "./HomeView.js";
export { isIdle } from "./isIdle.js";
export type { Limits } from "./Limits.js";
export { openAllowance } from "./openAllowance.js";
export { shareOf } from "./shareOf.js";
export { stepAllowance } from "./stepAllowance.js";
export { timing } from "./timing.js";
export { viewHomes } from "./viewHomes.js";
