import { exitCodeOf } from "@azureshunt/lifecycle";
import { cac } from "cac";

/** Returns the settings file that the command line names. Ends the process if it asks for help, or names none. */
export function readSettingsPath(argv: readonly string[]): string {
    const cli = cac("azureshuntd");
    cli.option("--settings <file>", "settings of this daemon (YAML)");
    cli.help();
    cli.version("0.1.0");
    const { options } = cli.parse([...argv]);
    if (options["help"] === true || options["version"] === true) {
        process.exit();
    }
    const file: unknown = options["settings"];
    if (typeof file !== "string") {
        console.error("azureshuntd: --settings FILE is needed");
        process.exit(exitCodeOf("bad-settings"));
    }
    return file;
}
