import { hoangLong } from "./hoangLong.js";
import { lantulAlb } from "./lantulAlb.js";
import type { Workload } from "./Workload.js";

/** The workloads that are measured. */
const workloads: readonly Workload[] = [lantulAlb, hoangLong];

export { workloads };
