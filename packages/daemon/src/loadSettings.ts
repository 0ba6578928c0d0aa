import { readFileSync } from "node:fs";

import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { LineCounter, parseDocument } from "yaml";
import type { ZodIssue } from "zod";

import { Settings } from "./Settings.js";

/** All faults of a settings file, one sentence each: file, line, field, what was found and what is allowed. */
type SettingsFaults = readonly string[];

/**
 * Reads and checks a settings file.
 *
 * @param file path of a YAML file
 */
export function loadSettings(file: string): Either<SettingsFaults, Settings> {
    const lines = new LineCounter();
    const text = readText(file);
    if (text === undefined) {
        return Left([`${file}: cannot be read`]);
    }
    const document = parseDocument(text, { lineCounter: lines });
    if (document.errors.length > 0) {
        return Left(
            document.errors.map(err =>
                `${file}:${err.linePos?.[0].line ?? 1}: not valid YAML: ${err.message.split("\n")[0]}`
            ),
        );
    }
    const lineOf = (path: readonly (string | number)[]): number => {
        const node = document.getIn(path, true);
        const range = node !== null && typeof node === "object" && "range" in node ? node.range as [number] : undefined;
        return range !== undefined ? lines.linePos(range[0]).line : path.length > 0 ? lineOf(path.slice(0, -1)) : 1;
    };
    const describe = (issue: ZodIssue): string => {
        const found: unknown = document.toJS() === undefined ? undefined : valueAt(document.toJS(), issue.path);
        return `${file}:${lineOf(issue.path)}: ${issue.path.join(".") || "settings"}: found ${
            JSON.stringify(found) ?? "nothing"
        }; ${issue.message}`;
    };
    const parsed = Settings.safeParse(document.toJS());
    return parsed.success ? Right(parsed.data) : Left(parsed.error.issues.map(describe));
}

function readText(file: string): string | undefined {
    try {
        return readFileSync(file, "utf8");
    }
    catch {
        return undefined;
    }
}

function valueAt(value: unknown, path: readonly (string | number)[]): unknown {
    return path.reduce<unknown>(
        (at, step) =>
            typeof at === "object" && at !== null ? (at as Record<string | number, unknown>)[step] : undefined,
        value,
    );
}
