/** Keys of organisations and administrators, and their authentication. */
export { authenticate } from "./authenticate.js";
export { authenticateAdmin } from "./authenticateAdmin.js";
export type { Caller } from "./Caller.js";
export { digestOf } from "./digestOf.js";
export type { GeneratedKey } from "./GeneratedKey.js";
export { newKey } from "./newKey.js";
