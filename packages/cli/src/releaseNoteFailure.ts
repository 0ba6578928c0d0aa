import { type FieldPath, pathText } from "@azureshunt/release";

import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";

/** A fault of a release note as reported by the parser or a daemon. */
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

/** Creates the failure for an invalid release note: one line per fault, with file, line and column. */
export function releaseNoteFailure(file: string, faults: readonly (Fault | string)[]): CliFailure {
    return failure("usage", faults.map(fault => lineOf(file, fault)), { kind: "invalid", faults });
}
