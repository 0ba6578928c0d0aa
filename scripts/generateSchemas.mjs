// Generates the committed schemas from the zod definitions. A test in each package checks that they are up to date.
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

import { releaseNoteSchema } from "@azureshunt/release";

import { openApi } from "../packages/daemon/dist/admin/openApi.js";

const FILES = [
    { file: "packages/release/schema/release-note.schema.json", value: releaseNoteSchema() },
    { file: "packages/daemon/openapi/admin.openapi.json", value: openApi() },
];

FILES.forEach(({ file, value }) => {
    mkdirSync(dirname(file), { recursive: true });
    writeFileSync(file, `${JSON.stringify(value, undefined, 4)}\n`);
    console.log(`wrote ${file}`);
});
