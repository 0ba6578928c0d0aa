/** Entry point of the daemon: `azureshuntd --settings FILE`. Exit codes: 0 stopped, 1 start failed, 2 usage error. */
import { cac } from "cac";

import { loadSettings } from "./loadSettings.js";
import type { Settings } from "./Settings.js";
import { startDaemon } from "./startDaemon.js";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const cli = cac("azureshuntd");
cli.option("--settings <file>", "settings of this daemon (YAML)");
cli.help();
cli.version("0.1.0");

const exitWithUsageError = (lines: readonly string[]): never => {
    lines.forEach(line => console.error(line));
    process.exit(EXIT_USAGE);
};

const run = async (settings: Settings): Promise<void> => {
    const daemon = await startDaemon(settings);
    const shutDown = (): void => {
        void daemon.shutDown().then(() => process.exit(0));
    };
    process.once("SIGTERM", shutDown);
    process.once("SIGINT", shutDown);
};

const { options } = cli.parse();
if (options["help"] !== true && options["version"] !== true) {
    const file: unknown = options["settings"];
    if (typeof file !== "string") {
        exitWithUsageError(["azureshuntd: --settings FILE is needed"]);
    }
    loadSettings(String(file)).caseOf({
        Left: exitWithUsageError,
        Right: settings => {
            run(settings).catch((err: unknown) => {
                console.error(`azureshuntd: could not start: ${err instanceof Error ? err.message : String(err)}`);
                process.exit(EXIT_FAILED);
            });
        },
    });
}
