import type { LogLine } from "./LogLine.js";

/** Fields that every line has, and which do not tell one request from another. */
const HEAD: ReadonlySet<string> = new Set(["time", "vm", "part", "msg", "level", "failureDomain", "incarnation"]);

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        // Other programs write to the same files; the caller counts what is no line of ours.
        return undefined;
    }
};

const isFields = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

/** Reads one line of a log, whatever a collector has put before it; undefined where it is none of azureshunt's. */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    const read = start < 0 ? undefined : parse(text.slice(start));
    if (!isFields(read)) {
        return undefined;
    }
    const { time, vm, part, msg } = read;
    const fields = Object.fromEntries(Object.entries(read).filter(([name]) => !HEAD.has(name)));
    return typeof time === "number" && typeof vm === "string" && typeof part === "string" && typeof msg === "string"
        ? { time, vm, part, msg, fields }
        : undefined;
}
