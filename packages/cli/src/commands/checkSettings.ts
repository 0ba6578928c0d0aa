import { loadSettings } from "@azureshunt/daemon";
import { EitherAsync } from "purify-ts";

import type { Command } from "../Command.js";
import { failure } from "../failure.js";

/** `settings check`: checks a daemon's settings file. */
const checkSettings: Command = {
    usage: "settings check <file>",
    summary: "Check a daemon's settings file",
    example: "azureshunt settings check azureshuntd.yaml",
    needsTarget: false,
    run: ({ args: [file = ""] }) =>
        EitherAsync.liftEither(
            loadSettings(file)
                .mapLeft(({ lines: faults }) => failure("usage", faults, { kind: "invalid", faults }))
                .map(settings => ({
                    lines: [`${file}: ok, VM ${settings.vm} in failure domain ${settings.failureDomain}`],
                    json: { kind: "valid", vm: settings.vm, failureDomain: settings.failureDomain },
                })),
        ),
};

export { checkSettings };
