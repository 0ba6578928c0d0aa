import { readFileSync } from "node:fs";

import type { ProcessUsage } from "./ProcessUsage.js";

const MS_PER_TICK = 10;
const BYTES_PER_KIB = 1_024;
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

const numberAfter = (text: string, label: string): number =>
    Number(new RegExp(`^${label}:\\s+(\\d+)`, "m").exec(text)?.[1] ?? 0);

/** Reads what a process has used so far from the kernel's tables. */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
        cpuMs: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) * MS_PER_TICK,
        residentBytes: numberAfter(status, "VmRSS") * BYTES_PER_KIB,
        transferredBytes: numberAfter(io, "rchar") + numberAfter(io, "wchar"),
    };
}
