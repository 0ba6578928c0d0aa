import { type FieldPath, pathText } from "@azureshunt/release";

import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";

/** A fault of a release note as the parser or a daemon names it. */
type Fault = {
    readonly path?: FieldPath | string;
    readonly line?: number;
    readonly column?: number;
    readonly found?: string;
    readonly allowed?: string;
};

const lineOf = (file: string, fault: Fault | string): string => {
    if (typeof fault === "string") {
        return `${file}: ${fault}`;
    }
    const path = typeof fault.path === "string" ? fault.path : pathText(fault.path ?? []);
    const place = `${file}:${fault.line ?? 1}:${fault.column ?? 1}`;
    return `${place}: ${path === "" ? "document" : path}: found ${fault.found}; allowed: ${fault.allowed}`;
};

/** Names all faults of a release note, one line each with file, line and column. */
export function noteFaults(file: string, faults: readonly (Fault | string)[]): CliFailure {
    return failure("usage", faults.map(fault => lineOf(file, fault)), { kind: "invalid", faults });
}
