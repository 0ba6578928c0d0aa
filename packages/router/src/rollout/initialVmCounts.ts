import type { VmCounts } from "./VmCounts.js";

/** The counts of a VM before its first report. */
const initialVmCounts: VmCounts = { ended: [], byProcess: new Map() };

export { initialVmCounts };
