/** Client of the platform's log and of its list of VMs. */
export { createLogClient } from "./createLogClient.js";
export { listVms } from "./listVms.js";
export type { LogPort } from "./LogPort.js";
