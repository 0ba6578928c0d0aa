import type { KnownVm } from "./KnownVm.js";

/** A VM as it registered itself in the VM list in the store. */
export type ListedVm = Pick<KnownVm, "vm" | "address" | "failureDomain" | "capacity">;
