/** Keys of organisations and of administrators, and who a key belongs to. */
export { authenticate } from "./authenticate.js";
export { authenticateAdmin } from "./authenticateAdmin.js";
export type { Caller } from "./Caller.js";
export { digestOf } from "./digestOf.js";
export type { GeneratedKey } from "./GeneratedKey.js";
export { newKey } from "./newKey.js";
