/** Members of the installation, and the home VM of each organisation. */
export { confirmedAge } from "./confirmedAge.js";
export { homeOf } from "./homeOf.js";
export type { ListedVm } from "./ListedVm.js";
export type { MemberEntry } from "./MemberEntry.js";
export type { Membership } from "./Membership.js";
export type { MembershipEffect } from "./MembershipEffect.js";
export type { MembershipEvent } from "./MembershipEvent.js";
export { MembershipRecord } from "./MembershipRecord.js";
export { membershipTiming } from "./membershipTiming.js";
export { openMembership } from "./openMembership.js";
export { servesFrom } from "./servesFrom.js";
export { stepMembership } from "./stepMembership.js";
