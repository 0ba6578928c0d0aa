import { parseReleaseNote, touchedItems } from "@azureshunt/release";
import { EitherAsync } from "purify-ts";

import type { Command } from "../Command.js";
import { readText } from "../readText.js";
import { releaseNoteFailure } from "../releaseNoteFailure.js";

/** `release check`: checks a release note without sending it. */
const checkRelease: Command = {
    usage: "release check <file>",
    summary: "Check a release note as a whole; nothing is sent",
    example: "azureshunt release check note.yaml",
    needsTarget: false,
    run: ({ args: [file = ""] }) =>
        EitherAsync.liftEither(
            readText(file)
                .chain(text => parseReleaseNote(text).mapLeft(faults => releaseNoteFailure(file, faults)))
                .map(({ value }) => ({
                    lines: [`${file}: ok`, ...touchedItems(value).map(item => `  ${item}`)],
                    json: { kind: "valid", note: value.note, touched: touchedItems(value) },
                })),
        ),
};

export { checkRelease };
