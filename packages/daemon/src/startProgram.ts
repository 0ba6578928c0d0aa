import { awaitSettings } from "@azureshunt/lifecycle";
import type { Application, StartContext } from "@azureshunt/lifecycle";

import { loadSettings } from "./loadSettings.js";
import { readSettingsPath } from "./readSettingsPath.js";
import { reportSettingsChange } from "./reportSettingsChange.js";
import { startDaemon } from "./startDaemon.js";
import { stopMsOf } from "./stopMsOf.js";

/**
 * Starts the daemon with the settings file that the command line names.
 *
 * @throws StartFailure if the settings are wrong, or missing for too long
 */
export async function startProgram(context: StartContext): Promise<Application> {
    const file = readSettingsPath(process.argv);
    const settings = await awaitSettings({
        read: () => loadSettings(file).mapLeft(({ text, lines }) => ({ text, line: lines.join("; ") })),
        context,
    });
    const daemon = await startDaemon(settings, context);
    return {
        reload: () => reportSettingsChange(settings, loadSettings(file), context.log),
        refuse: daemon.refuse,
        drain: daemon.shutDown,
        cut: daemon.cut,
        stopMs: () => stopMsOf(settings.limits),
    };
}
