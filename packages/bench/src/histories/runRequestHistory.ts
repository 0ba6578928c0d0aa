import { readFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

import type { RequestEvent } from "@azureshunt/history";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

import { demoNote } from "../demo/demoNote.js";
import { demoPlan } from "../demo/demoPlan.js";
import { applyRelease } from "../topology/applyRelease.js";
import { callHttp } from "../topology/callHttp.js";
import { startTopology } from "../topology/startTopology.js";
import type { Topology } from "../topology/Topology.js";
import type { TopologyPlan } from "../topology/TopologyPlan.js";
import { callService } from "./callService.js";
import type { HistoryPlan } from "./HistoryPlan.js";
import { readStream } from "./readStream.js";
import { requestFaults } from "./requestFaults.js";

const CRASH_TEXT = "this prompt ends the process";
const CRASH_SENDS = 4;
const TOKEN_BYTES = 4;
const FIRST_PROMPT_TOKENS = 100;
const REPEAT_AFTER_MS = 1_500;
const DAEMONS_AT_ONCE = 3;
const MIN_ANSWER = 30;
const MAX_ANSWER = 120;
const FAULT_FROM = 0.2;
const FAULT_TO = 0.6;

/** Daemons that start together learn of one another with the second reading of the list of VMs. */
const MEMBERSHIP_MS = 2_500;

type Random = (from: number, to: number) => number;
type Demo = ReturnType<typeof demoNote>;
type Organisation = Demo["organisations"][number];
type World = { readonly topology: Topology; readonly demo: Demo; readonly random: Random; readonly plan: HistoryPlan; };

const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return (from, to) => uniformInt(generator, from, to);
};

/** The demonstration's installation, with a history file for each endpoint. */
const withHistories = (plan: TopologyPlan, folder: string, crashes: boolean): TopologyPlan => ({
    ...plan,
    endpoints: plan.endpoints.map(endpoint => ({
        ...endpoint,
        flags: {
            ...endpoint.flags,
            ...endpoint.kind === "cache" ? {} : { history: join(folder, `${endpoint.name}.jsonl`) },
            ...endpoint.kind === "model" ? { "decode-ms-per-token": "10" } : {},
            ...endpoint.kind === "model" && crashes ? { "crash-on": CRASH_TEXT } : {},
        },
    })),
});

const promptOf = (index: number, head: string): string =>
    `${head}${index} `.padEnd((FIRST_PROMPT_TOKENS + index) * TOKEN_BYTES, "snow chains for narrow tyres ");

const choose = (random: Random) => <Item>(items: readonly Item[]): Item => items[random(0, items.length - 1)] as Item;

async function oneStream(world: World, index: number, isCrash: boolean): Promise<RequestEvent> {
    const { topology, demo, random, plan } = world;
    const pick = choose(random);
    const organisation = isCrash ? demo.organisations[0] as Organisation : pick(demo.organisations);
    const daemon = pick(topology.daemons);
    const maxTokens = isCrash ? MIN_ANSWER : random(MIN_ANSWER, MAX_ANSWER);
    await sleep(random(0, plan.spanMs));
    const before = daemon.process();
    const prompt = promptOf(index, isCrash ? CRASH_TEXT : "question ");
    const seen = await readStream({
        caller: daemon.caller,
        key: organisation.key,
        model: demo.model,
        prompt,
        maxTokens,
    });
    return {
        kind: "stream",
        id: `stream-${index}`,
        organisation: organisation.id,
        promptTokens: prompt.length / TOKEN_BYTES,
        maxTokens,
        ...seen,
        daemonKilled: before.hasExited() || daemon.process() !== before,
        crashes: isCrash,
    };
}

async function oneCall(world: World, index: number, isKeyed: boolean): Promise<readonly RequestEvent[]> {
    const { topology, demo, random, plan } = world;
    const pick = choose(random);
    const organisation = pick(demo.organisations);
    const path = `/bookings/${index}`;
    const key = isKeyed ? `hold-${index}` : undefined;
    const call = async (name: string): Promise<RequestEvent> => {
        const seen = await callService({
            caller: pick(topology.daemons).caller,
            key: organisation.key,
            service: demo.service,
            path,
            idempotencyKey: key,
        });
        return { kind: "call", id: `call-${index}-${name}`, organisation: organisation.id, key, path, ...seen };
    };
    await sleep(random(0, plan.spanMs));
    if (!isKeyed) {
        return [await call("only")];
    }
    const atOnce = await Promise.all(Array.from({ length: DAEMONS_AT_ONCE }, (_, i) => call(`at-once-${i}`)));
    await sleep(REPEAT_AFTER_MS);
    return [...atOnce, await call("again")];
}

/** The same caller sends a prompt that crashes engines several times, through different daemons. */
async function crashStreams(world: World): Promise<readonly RequestEvent[]> {
    const index = world.plan.streams + 1;
    const once = (left: number): Promise<readonly RequestEvent[]> =>
        left === 0
            ? Promise.resolve([])
            : oneStream({ ...world, plan: { ...world.plan, spanMs: 500 } }, index, true).then(async event => [
                event,
                ...await once(left - 1),
            ]);
    return once(CRASH_SENDS);
}

async function runFault(world: World, name: string): Promise<void> {
    const { topology, random, plan } = world;
    const fault = requestFaults[name];
    if (fault === undefined) {
        throw new Error(`${name} is no fault; allowed: ${Object.keys(requestFaults).join(", ")}, crash-prompt`);
    }
    await sleep(random(Math.round(plan.spanMs * FAULT_FROM), Math.round(plan.spanMs * FAULT_TO)));
    await fault(topology, choose(random));
}

const linesOf = (file: string): readonly Record<string, unknown>[] =>
    readFileSync(file, "utf8").split("\n").filter(line => line !== "").map(line =>
        JSON.parse(line) as Record<string, unknown>
    );

const readRuns = ({ topology }: World, folder: string): readonly RequestEvent[] =>
    topology.endpoints.flatMap<RequestEvent>(({ name, kind }) => {
        if (kind === "cache") {
            return [];
        }
        const lines = linesOf(join(folder, `${name}.jsonl`));
        return kind === "service"
            ? lines.map(line => ({
                kind: "service-run",
                endpoint: name,
                organisation: String(line["organisation"]),
                key: line["idempotencyKey"] as string | undefined,
                path: String(line["path"]),
            }))
            : lines.filter(line => line["kind"] === "run").map(line => ({
                kind: "engine-run",
                endpoint: name,
                organisation: String(line["organisation"]),
                promptTokens: Number(line["promptTokens"]),
            }));
    });

/** Asks one living engine itself, past the daemons, for the whole text of each prompt. */
async function readReferences(world: World, streams: readonly RequestEvent[]): Promise<readonly RequestEvent[]> {
    const { topology, demo } = world;
    const engine = topology.endpoints.find(({ kind, hasExited }) => kind === "model" && !hasExited());
    if (engine === undefined) {
        return [];
    }
    const served = streams.flatMap(event =>
        event.kind === "stream" && !event.crashes && event.text !== "" ? [event] : []
    );
    const ask = async (event: (typeof served)[number]): Promise<RequestEvent> => {
        const index = event.promptTokens - FIRST_PROMPT_TOKENS;
        const { text } = await callHttp({
            method: "POST",
            url: `${engine.url}/v1/completions`,
            headers: {
                "x-dispatch-id": `reference-${index}`,
                "x-weights-version": "v1",
                "x-organisation": event.organisation,
            },
            body: {
                model: demo.model,
                prompt: promptOf(index, "question "),
                max_tokens: event.maxTokens,
                stream: false,
            },
        });
        const answer = JSON.parse(text) as { readonly choices?: readonly { readonly text?: string; }[]; };
        return { kind: "reference", promptTokens: event.promptTokens, text: answer.choices?.[0]?.text ?? "" };
    };
    return Promise.all(served.map(ask));
}

/**
 * Runs callers' requests against real processes while faults happen.
 *
 * @param folder for settings, logs and the endpoints' histories
 * @returns what callers saw and what endpoints say that they ran
 */
export async function runRequestHistory(plan: HistoryPlan, folder: string): Promise<readonly RequestEvent[]> {
    const crashes = plan.faults.includes("crash-prompt");
    const topology = await startTopology(withHistories(demoPlan(folder), folder, crashes));
    try {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await sleep(MEMBERSHIP_MS);
        const world: World = { topology, demo, random: createRandom(plan.seed), plan };
        const faults = plan.faults.filter(name => name !== "crash-prompt").map(name => runFault(world, name));
        const streams = Array.from({ length: plan.streams }, (_, index) => oneStream(world, index, false));
        const calls = Array.from({ length: plan.keys * 2 }, (_, index) => oneCall(world, index, index % 2 === 0));
        const crashed = crashes ? await crashStreams(world) : [];
        const seen = [...await Promise.all(streams), ...(await Promise.all(calls)).flat(), ...crashed];
        await Promise.all(faults);
        const runs = readRuns(world, folder);
        const died: readonly RequestEvent[] = topology.endpoints
            .filter(({ kind, hasExited }) => crashes && kind === "model" && hasExited())
            .map(({ name }) => ({ kind: "engine-crash", endpoint: name }));
        return [...seen, ...runs, ...died, ...await readReferences(world, seen)];
    }
    finally {
        await topology.stop();
    }
}
