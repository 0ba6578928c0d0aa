import { zodToJsonSchema } from "zod-to-json-schema";

import { ReleaseNote } from "./ReleaseNote.js";

/** Returns the JSON Schema of release notes, for editors. `scripts/generateSchemas.mjs` writes it to `schema/`. */
export function releaseNoteSchema(): object {
    return {
        title: "azureshunt release note",
        ...zodToJsonSchema(ReleaseNote, { $refStrategy: "none", effectStrategy: "input", pipeStrategy: "input" }),
    };
}
