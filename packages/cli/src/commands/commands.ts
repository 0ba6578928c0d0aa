import type { Command } from "../Command.js";
import { checkSettings } from "./checkSettings.js";
import { explainRequests } from "./explainRequests.js";
import { keyCommands } from "./keyCommands.js";
import { releaseCommands } from "./releaseCommands.js";
import { showCommands } from "./showCommands.js";

/** All commands of the tool. */
const commands: readonly Command[] = [
    ...releaseCommands,
    ...keyCommands,
    ...showCommands,
    explainRequests,
    checkSettings,
];

export { commands };
