/** Runs the command-line tool against a running installation and writes its output into a page, between two marks. */
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
const CLI = `${ROOT}packages/cli/bin/azureshunt.js`;
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

/** One command of the transcript: the arguments as shown in the page, and those that are run. */
type TranscriptCommand = { readonly shown: string; readonly args: readonly string[]; };

const runCli = (args: readonly string[], env: NodeJS.ProcessEnv): Promise<string> =>
    new Promise(resolve => {
        const child = spawn(process.execPath, [CLI, ...args], { env: { ...process.env, ...env, NO_COLOR: "1" } });
        const output: string[] = [];
        child.stdout.on("data", (data: Buffer) => output.push(data.toString("utf8")));
        child.stderr.on("data", (data: Buffer) => output.push(data.toString("utf8")));
        child.once("close", code => resolve(`${output.join("").trimEnd()}\n(exit code ${code ?? "none"})`));
    });

const run = (): Promise<void> =>
    withTopology("transcript", demoPlan, async (topology, folder) => {
        const demo = demoNote(topology);
        const [daemon] = topology.daemons;
        const files = { first: join(folder, "first.yaml"), faulty: join(folder, "faulty.yaml") };
        writeFileSync(files.first, stringify(demo.note));
        writeFileSync(files.faulty, FAULTY_NOTE);
        const env = { AZURESHUNT_URL: daemon?.admin ?? "", AZURESHUNT_KEY: topology.adminKey };
        const recordCommands = async (commands: readonly TranscriptCommand[]): Promise<readonly string[]> =>
            commands.reduce<Promise<readonly string[]>>(async (before, { shown, args }) => {
                const lines = await before;
                const output = (await runCli(args, env)).replaceAll(`${folder}/`, "");
                return [...lines, "```", `$ azureshunt ${shown}`, output, "```", ""];
            }, Promise.resolve([]));
        const asTyped = (text: string): TranscriptCommand => ({ shown: text, args: text.split(" ") });
        const first = await recordCommands([
            { shown: "release check faulty.yaml", args: ["release", "check", files.faulty] },
            { shown: "release apply first.yaml", args: ["release", "apply", files.first] },
            { shown: "release apply first.yaml", args: ["release", "apply", files.first] },
        ]);
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const key = demo.organisations[0]?.key ?? "";
        const messages = [{ role: "user", content: "Which chain fits 205/55 R16?" }];
        const chat = await streamChat(daemon?.caller ?? "", key, demo.model, messages, 4);
        const second = await recordCommands([
            asTyped("vm list"),
            asTyped("endpoint list"),
            asTyped("organisation show brasov-desk"),
            asTyped("key list"),
            asTyped("key withdraw key-drivers"),
            asTyped("release list"),
            asTyped("release status"),
            asTyped(`why ${chat.requestId}`),
            asTyped("organisation show nobody"),
        ]);
        const page = readFileSync(PAGE, "utf8");
        const [head] = page.split(BEGIN);
        const [, tail] = page.split(END);
        writeFileSync(PAGE, [head ?? "", BEGIN, "\n\n", [...first, ...second].join("\n"), END, tail ?? ""].join(""));
        console.log(`transcript written: ${PAGE.replace(ROOT, "")}`);
    });

runProgram("transcript", run);
