import type { LogLine } from "./LogLine.js";

/** Fields that every line has; they are not specific to a request. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
    "time",
    "vm",
    "part",
    "msg",
    "level",
    "failureDomain",
    "incarnation",
]);

const parseJson = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        // Other programs write to the same files; the caller counts the lines that are not azureshunt's.
        return undefined;
    }
};

const isFields = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

/** Parses a log line, ignoring any prefix that a log collector added; `undefined` if it is not azureshunt's. */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    const parsed = start < 0 ? undefined : parseJson(text.slice(start));
    if (!isFields(parsed)) {
        return undefined;
    }
    const { time, vm, part, msg } = parsed;
    const fields = Object.fromEntries(Object.entries(parsed).filter(([name]) => !COMMON_FIELDS.has(name)));
    return typeof time === "number" && typeof vm === "string" && typeof part === "string" && typeof msg === "string"
        ? { time, vm, part, msg, fields }
        : undefined;
}
