/** Runs the command-line tool against running processes and writes what it said into a page, between two marks. */
import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

import { stringify } from "yaml";

import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { streamChat } from "../demo/streamChat.js";
import { runProgram } from "../process/runProgram.js";
import { withTopology } from "../topology/withTopology.js";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const PAGE = `${ROOT}docs/OPERATORS.md`;
const TOOL = `${ROOT}packages/cli/bin/azureshunt.js`;
const BEGIN = "<!-- transcript: begin -->";
const END = "<!-- transcript: end -->";
const SETTLE_MS = 6_000;

const FAULTY_NOTE = `note: three faults
added:
    organisations:
        - id: rescue
          rate: -5
          burst: 1000
    keys:
        - id: key-rescue
          organisation: rescue
          digest: nonsense
withdrawn:
    endpoint: [engine-a]
`;

/** One command of the transcript: as it is shown, and as it is run. */
type Shown = { readonly shown: string; readonly args: readonly string[]; };

const runTool = (args: readonly string[], env: NodeJS.ProcessEnv): Promise<string> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [TOOL, ...args], { env: { ...process.env, ...env, NO_COLOR: "1" } });
        const said: string[] = [];
        child.stdout.on("data", (data: Buffer) => said.push(data.toString("utf8")));
        child.stderr.on("data", (data: Buffer) => said.push(data.toString("utf8")));
        child.once("close", code => resolve(`${said.join("").trimEnd()}\n(exit code ${code ?? "none"})`));
    });

const run = (): Promise<void> =>
    withTopology("transcript", demoPlan, async (topology, folder) => {
        const demo = demoNote(topology);
        const [daemon] = topology.daemons;
        const files = { first: join(folder, "first.yaml"), faulty: join(folder, "faulty.yaml") };
        writeFileSync(files.first, stringify(demo.note));
        writeFileSync(files.faulty, FAULTY_NOTE);
        const env = { AZURESHUNT_URL: daemon?.admin ?? "", AZURESHUNT_KEY: topology.adminKey };
        const record = async (commands: readonly Shown[]): Promise<readonly string[]> =>
            commands.reduce<Promise<readonly string[]>>(async (before, { shown, args }) => {
                const lines = await before;
                const said = (await runTool(args, env)).replaceAll(`${folder}/`, "");
                return [...lines, "```", `$ azureshunt ${shown}`, said, "```", ""];
            }, Promise.resolve([]));
        const plain = (text: string): Shown => ({ shown: text, args: text.split(" ") });
        const first = await record([
            { shown: "release check faulty.yaml", args: ["release", "check", files.faulty] },
            { shown: "release apply first.yaml", args: ["release", "apply", files.first] },
            { shown: "release apply first.yaml", args: ["release", "apply", files.first] },
        ]);
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const key = demo.organisations[0]?.key ?? "";
        const messages = [{ role: "user", content: "Which chain fits 205/55 R16?" }];
        const chat = await streamChat(daemon?.caller ?? "", key, demo.model, messages, 4);
        const second = await record([
            plain("vm list"),
            plain("endpoint list"),
            plain("organisation show brasov-desk"),
            plain("key list"),
            plain("key withdraw key-drivers"),
            plain("release list"),
            plain("release status"),
            plain(`why ${chat.requestId}`),
            plain("organisation show nobody"),
        ]);
        const page = readFileSync(PAGE, "utf8");
        const [head] = page.split(BEGIN);
        const [, tail] = page.split(END);
        writeFileSync(PAGE, [head ?? "", BEGIN, "\n\n", [...first, ...second].join("\n"), END, tail ?? ""].join(""));
        console.log(`transcript written: ${PAGE.replace(ROOT, "")}`);
    });

runProgram("transcript", run);
