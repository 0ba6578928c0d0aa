import { spawnSync } from "node:child_process";
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

import { stringify } from "yaml";

import { callHttp } from "../topology/callHttp.js";
import type { Topology } from "../topology/Topology.js";
import { waitUntil } from "../topology/waitUntil.js";
import type { demoNote } from "./demoNote.js";
import { expectThat } from "./expectThat.js";
import { longPrompt } from "./longPrompt.js";
import { streamChat } from "./streamChat.js";

const CLI_FILE = fileURLToPath(new URL("../../../cli/bin/azureshunt.js", import.meta.url));
const IN_FORCE_TIMEOUT_MS = 7_000;
const MAX_TOKENS = 16;

type DemoParts = {
    readonly topology: Topology;
    readonly demo: ReturnType<typeof demoNote>;
    readonly folder: string;
    readonly print: (line: string) => void;
};

const formatMs = (value: number): string => `${value.toFixed(1)} ms`;

/** Runs all steps of the demonstration in order; the first that fails throws. */
export async function runSteps(parts: DemoParts): Promise<void> {
    await applyNote(parts, "first release", parts.demo.note, 1);
    await streamTwice(parts);
    await bookTwice(parts);
    await withdrawKey(parts);
}

/** Applies a release note with the command-line tool and waits until every daemon has it in force. */
async function applyNote(parts: DemoParts, name: string, note: object, revision: number): Promise<void> {
    const { topology, folder, print } = parts;
    const file = `${folder}/${name.replaceAll(" ", "-")}.yaml`;
    writeFileSync(file, stringify(note));
    const args = [
        CLI_FILE,
        "release",
        "apply",
        file,
        "--url",
        topology.daemons[0]?.admin ?? "",
        "--key",
        topology.adminKey,
    ];
    const startedAt = performance.now();
    const { status, stdout, stderr } = spawnSync(process.execPath, args, { encoding: "utf8" });
    expectThat(status === 0, `azureshunt release apply of ${name} to exit with 0`, { status, stdout, stderr });
    await waitUntil(`revision ${revision} on every daemon`, IN_FORCE_TIMEOUT_MS, async () => {
        const revisions = await Promise.all(topology.daemons.map(async daemon => {
            const res = await callHttp({
                method: "GET",
                url: `${daemon.admin}/admin/v1/status`,
                key: topology.adminKey,
            });
            return (JSON.parse(res.text) as { readonly revision?: number; }).revision;
        }));
        return revisions.every(found => found === revision);
    });
    print(
        `release note "${name}": in force on ${topology.daemons.length} daemons after ${
            formatMs(performance.now() - startedAt)
        }`,
    );
}

async function streamTwice({ topology, demo, print }: DemoParts): Promise<void> {
    const caller = topology.daemons[0]?.caller ?? "";
    const key = demo.organisations[0]?.key ?? "";
    const streamQuestion = (question: string) => streamChat(caller, key, demo.model, longPrompt(question), MAX_TOKENS);
    const first = await streamQuestion("Which chain fits 205/55 R16?");
    expectThat(first.complete && first.tokens > 0, "a whole stream", first);
    // Engines publish cache events with a delay; until then daemons do not know that the prefix is cached.
    await new Promise(resolve => setTimeout(resolve, 300));
    const second = await streamQuestion("Which chain fits 225/45 R17?");
    expectThat(second.complete && second.tokens > 0, "a whole stream", second);
    const runs = await Promise.all(
        topology.endpoints.filter(endpoint => endpoint.kind === "model").map(async endpoint => {
            const res = await callHttp({ method: "GET", url: `${endpoint.url}/runs` });
            return (JSON.parse(res.text) as { readonly runs: readonly { readonly cachedTokens: number; }[]; }).runs;
        }),
    );
    const cached = Math.max(...runs.flat().map(run => run.cachedTokens));
    expectThat(cached > 0, "the second prompt to find its prefix in a cache", runs.flat());
    print(
        `streamed chat, new prefix: first token after ${formatMs(first.firstTokenMs ?? NaN)}, ${first.tokens} tokens`,
    );
    print(
        `streamed chat, same prefix: first token after ${
            formatMs(second.firstTokenMs ?? NaN)
        }, ${cached} prompt tokens from cache`,
    );
}

async function bookTwice({ topology, demo, print }: DemoParts): Promise<void> {
    const key = demo.organisations[0]?.key ?? "";
    const daemons = [topology.daemons[0], topology.daemons.at(-1)];
    const answers = await Promise.all(daemons.map(daemon =>
        callHttp({
            method: "POST",
            url: `${daemon?.caller ?? ""}/v1/services/${demo.service}/bookings`,
            key,
            headers: { "idempotency-key": "booking-1" },
            body: { vehicle: "B 123 ABC", chain: "KN-90" },
        })
    ));
    const services = topology.endpoints.filter(endpoint => endpoint.kind === "service");
    const runs = await Promise.all(services.map(async endpoint => {
        const res = await callHttp({ method: "GET", url: `${endpoint.url}/runs` });
        return (JSON.parse(res.text) as { readonly runs: readonly unknown[]; }).runs;
    }));
    expectThat(runs.flat().length === 1, "the booking to have run once", { runs: runs.flat(), answers });
    expectThat(answers.some(answer => answer.status === 200), "one of both calls to be answered with 200", answers);
    print(`one booking through two daemons: answered ${answers.map(answer => answer.status).join(" and ")}, ran once`);
}

async function withdrawKey(parts: DemoParts): Promise<void> {
    const { topology, demo, print } = parts;
    const { id, key } = demo.spareKey;
    const caller = topology.daemons.at(-1)?.caller ?? "";
    const models = () => callHttp({ method: "GET", url: `${caller}/v1/models`, key });
    expectThat((await models()).status === 200, "the key to be valid before it is withdrawn", await models());
    const note = { note: "withdraw a key", withdrawn: { keys: [id] } };
    const startedAt = performance.now();
    await applyNote(parts, "withdraw a key", note, 2);
    await waitUntil(
        "the withdrawn key to be refused",
        IN_FORCE_TIMEOUT_MS,
        async () => (await models()).status === 401,
    );
    print(`withdrawn key: refused with 401 after ${formatMs(performance.now() - startedAt)}`);
}
