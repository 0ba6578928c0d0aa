import { readSmallFile } from "@azureshunt/lifecycle";
import type { LocatedFault } from "@azureshunt/release";
import { faultText, parseDocument } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left } from "purify-ts";

import { Settings } from "./Settings.js";

/** A settings file that cannot be used. */
type SettingsFaults = {
    /** The file's text; `undefined` if it cannot be read. */
    readonly text: string | undefined;
    /** All faults, one line each: file, line and column, field, value found, values allowed. */
    readonly lines: readonly string[];
};

const readText = (file: string): string | undefined => {
    try {
        return readSmallFile(file);
    }
    catch {
        return undefined;
    }
};

/**
 * Reads and validates a settings file.
 *
 * @param file path of a YAML file
 * @returns Left with all faults if the file cannot be read or is invalid
 */
export function loadSettings(file: string): Either<SettingsFaults, Settings> {
    const text = readText(file);
    if (text === undefined) {
        return Left({ text, lines: [`${file}: cannot be read`] });
    }
    const lineOf = (fault: LocatedFault): string => `${file}:${faultText(fault)}`;
    return parseDocument(Settings, text).bimap(faults => ({ text, lines: faults.map(lineOf) }), ({ value }) => value);
}
