// `npm run operations`: regenerates the transcripts of docs/OPERATIONS.md from the sample log lines beside it, with the
// command that the page tells on-call engineers to use.
import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const PAGE = "docs/OPERATIONS.md";
const BLOCK = /<!-- explain (\S+) (\S+) -->\n[\s\S]*?<!-- end -->/g;

const explain = (id, file) => {
    const args = ["packages/cli/dist/main.js", "explain", "--id", id, file];
    const { status, stdout, stderr } = spawnSync(process.execPath, args, { encoding: "utf8" });
    if (status !== 0) {
        throw new Error(stderr);
    }
    return stdout.trimEnd();
};

const page = readFileSync(PAGE, "utf8");
const updatedPage = page.replace(BLOCK, (_, id, file) =>
    [
        `<!-- explain ${id} ${file} -->`,
        "```",
        `$ azureshunt explain --id ${id} ${file}`,
        explain(id, file),
        "```",
        "<!-- end -->",
    ].join("\n"));
writeFileSync(PAGE, updatedPage);
console.log(`${PAGE}: ${[...page.matchAll(BLOCK)].length} transcripts written`);
