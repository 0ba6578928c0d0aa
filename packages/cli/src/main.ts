/** Entry point of the command-line tool `azureshunt`. See `exitCodes` for its exit codes. */
import { runCli } from "./runCli.js";

process.exitCode = await runCli(process.argv.slice(2), {
    env: process.env,
    isTerminal: process.stdout.isTTY === true && process.env["NO_COLOR"] === undefined,
    out: line => console.log(line),
    err: line => console.error(line),
});
