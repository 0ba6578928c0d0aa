import { StartFailure } from "@azureshunt/lifecycle";
import type { Application, StartContext } from "@azureshunt/lifecycle";

import { loadSettings } from "./loadSettings.js";
import { readSettingsPath } from "./readSettingsPath.js";
import { reportSettingsChange } from "./reportSettingsChange.js";
import type { Settings } from "./Settings.js";
import { startDaemon } from "./startDaemon.js";
import { stopMsOf } from "./stopMsOf.js";

/**
 * Starts the daemon with the settings file that the command line names.
 *
 * @throws StartFailure if the settings are wrong
 */
export async function startProgram(context: StartContext): Promise<Application> {
    const file = readSettingsPath(process.argv);
    const settings = loadSettings(file).caseOf<Settings>({
        Left: faults => {
            throw new StartFailure("bad-settings", faults.join("; "));
        },
        Right: read => read,
    });
    const daemon = await startDaemon(settings, context);
    return {
        reload: () => reportSettingsChange(settings, loadSettings(file), context.log),
        refuse: daemon.refuse,
        drain: daemon.shutDown,
        stopMs: stopMsOf(settings.limits),
    };
}
