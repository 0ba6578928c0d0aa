/** The command-line tool `azureshunt`. */
export { exitCodes } from "./exitCodes.js";
export { runCli } from "./runCli.js";
