import { readFileSync } from "node:fs";

import type { ProcessUsage } from "./ProcessUsage.js";

const MS_PER_TICK = 10;
const BYTES_PER_KIB = 1_024;
/** Indices into the fields of `/proc/PID/stat` after the command name. */
const USER_TICKS_INDEX = 11;
const SYSTEM_TICKS_INDEX = 12;

const numberAfter = (text: string, label: string): number =>
    Number(new RegExp(`^${label}:\\s+(\\d+)`, "m").exec(text)?.[1] ?? 0);

/** Reads the resource usage of a process from `/proc`. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
        cpuMs: (Number(fields[USER_TICKS_INDEX]) + Number(fields[SYSTEM_TICKS_INDEX])) * MS_PER_TICK,
        residentBytes: numberAfter(status, "VmRSS") * BYTES_PER_KIB,
        transferredBytes: numberAfter(io, "rchar") + numberAfter(io, "wchar"),
    };
}
