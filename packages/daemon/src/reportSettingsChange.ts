import type { StartContext } from "@azureshunt/lifecycle";

import type { loadSettings } from "./loadSettings.js";
import type { Settings } from "./Settings.js";

const isEqual = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/**
 * Logs whether a settings file, read again, differs from the settings in force. They stay in force until the daemon is
 * started again.
 */
export function reportSettingsChange(
    current: Settings,
    read: ReturnType<typeof loadSettings>,
    log: StartContext["log"],
): void {
    read.caseOf({
        Left: ({ lines }) => log("warn", { faults: lines }, "The settings file cannot be used: a restart would fail."),
        Right: next => {
            const fields = (Object.keys(current) as (keyof Settings)[])
                .filter(field => !isEqual(current[field], next[field]));
            if (fields.length === 0) {
                log("info", {}, "The settings file has not changed.");
                return;
            }
            log("warn", { fields }, "The settings file has changed: the changes need a restart.");
        },
    });
}
