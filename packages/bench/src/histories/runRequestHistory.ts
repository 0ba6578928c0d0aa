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
const CRASH_ATTEMPTS = 4;
const BYTES_PER_TOKEN = 4;
const MIN_PROMPT_TOKENS = 100;
const REPEAT_AFTER_MS = 1_500;
const CONCURRENT_CALLS = 3;
const MIN_ANSWER_TOKENS = 30;
const MAX_ANSWER_TOKENS = 120;
const MIN_FAULT_START_FRACTION = 0.2;
const MAX_FAULT_START_FRACTION = 0.6;

/** Daemons that start together discover one another with their second read of the VM list. */
const MEMBERSHIP_DELAY_MS = 2_500;

type Random = (from: number, to: number) => number;
type Demo = ReturnType<typeof demoNote>;
type Organisation = Demo["organisations"][number];
type HistoryContext = {
    readonly topology: Topology;
    readonly demo: Demo;
    readonly random: Random;
    readonly plan: HistoryPlan;
};

const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    return (from, to) => uniformInt(generator, from, to);
};

/** Adds a history file for each endpoint to a plan, and slows down the engines. */
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
    `${head}${index} `.padEnd((MIN_PROMPT_TOKENS + index) * BYTES_PER_TOKEN, "snow chains for narrow tyres ");

const choose = (random: Random) => <Item>(items: readonly Item[]): Item => items[random(0, items.length - 1)] as Item;

async function sendStream(context: HistoryContext, index: number, isCrash: boolean): Promise<RequestEvent> {
    const { topology, demo, random, plan } = context;
    const pick = choose(random);
    const organisation = isCrash ? demo.organisations[0] as Organisation : pick(demo.organisations);
    const daemon = pick(topology.daemons);
    const maxTokens = isCrash ? MIN_ANSWER_TOKENS : random(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS);
    await sleep(random(0, plan.spanMs));
    const processBefore = daemon.process();
    const prompt = promptOf(index, isCrash ? CRASH_TEXT : "question ");
    const outcome = await readStream({
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
        promptTokens: prompt.length / BYTES_PER_TOKEN,
        maxTokens,
        ...outcome,
        daemonKilled: processBefore.hasExited() || daemon.process() !== processBefore,
        crashes: isCrash,
    };
}

async function sendCalls(context: HistoryContext, index: number, isKeyed: boolean): Promise<readonly RequestEvent[]> {
    const { topology, demo, random, plan } = context;
    const pick = choose(random);
    const organisation = pick(demo.organisations);
    const path = `/bookings/${index}`;
    const key = isKeyed ? `hold-${index}` : undefined;
    const call = async (name: string): Promise<RequestEvent> => {
        const outcome = await callService({
            caller: pick(topology.daemons).caller,
            key: organisation.key,
            service: demo.service,
            path,
            idempotencyKey: key,
        });
        return { kind: "call", id: `call-${index}-${name}`, organisation: organisation.id, key, path, ...outcome };
    };
    await sleep(random(0, plan.spanMs));
    if (!isKeyed) {
        return [await call("only")];
    }
    const concurrent = await Promise.all(Array.from({ length: CONCURRENT_CALLS }, (_, i) => call(`at-once-${i}`)));
    await sleep(REPEAT_AFTER_MS);
    return [...concurrent, await call("again")];
}

/** Sends a prompt that crashes engines several times as the same caller, through randomly chosen daemons. */
async function sendCrashStreams(context: HistoryContext): Promise<readonly RequestEvent[]> {
    const index = context.plan.streams + 1;
    const sendRemaining = (left: number): Promise<readonly RequestEvent[]> =>
        left === 0
            ? Promise.resolve([])
            : sendStream({ ...context, plan: { ...context.plan, spanMs: 500 } }, index, true).then(async event => [
                event,
                ...await sendRemaining(left - 1),
            ]);
    return sendRemaining(CRASH_ATTEMPTS);
}

async function runFault(context: HistoryContext, name: string): Promise<void> {
    const { topology, random, plan } = context;
    const fault = requestFaults[name];
    if (fault === undefined) {
        throw new Error(`${name} is no fault; allowed: ${Object.keys(requestFaults).join(", ")}, crash-prompt`);
    }
    await sleep(
        random(Math.round(plan.spanMs * MIN_FAULT_START_FRACTION), Math.round(plan.spanMs * MAX_FAULT_START_FRACTION)),
    );
    await fault(topology, choose(random));
}

const linesOf = (file: string): readonly Record<string, unknown>[] =>
    readFileSync(file, "utf8").split("\n").filter(line => line !== "").map(line =>
        JSON.parse(line) as Record<string, unknown>
    );

const readRuns = ({ topology }: HistoryContext, folder: string): readonly RequestEvent[] =>
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

/** Requests the whole answer to each prompt directly from one live engine, as the reference for the streamed answers. */
async function readReferences(
    context: HistoryContext,
    streams: readonly RequestEvent[],
): Promise<readonly RequestEvent[]> {
    const { topology, demo } = context;
    const engine = topology.endpoints.find(({ kind, hasExited }) => kind === "model" && !hasExited());
    if (engine === undefined) {
        return [];
    }
    const served = streams.flatMap(event =>
        event.kind === "stream" && !event.crashes && event.text !== "" ? [event] : []
    );
    const readReference = async (event: (typeof served)[number]): Promise<RequestEvent> => {
        const index = event.promptTokens - MIN_PROMPT_TOKENS;
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
    return Promise.all(served.map(readReference));
}

/**
 * Runs callers' requests against real processes while faults are injected.
 *
 * @param folder folder for settings, logs and the endpoints' histories
 * @returns the outcomes seen by callers and the runs recorded by endpoints
 */
export async function runRequestHistory(plan: HistoryPlan, folder: string): Promise<readonly RequestEvent[]> {
    const crashes = plan.faults.includes("crash-prompt");
    const topology = await startTopology(withHistories(demoPlan(folder), folder, crashes));
    try {
        const demo = demoNote(topology);
        await applyRelease(topology, demo.note);
        await sleep(MEMBERSHIP_DELAY_MS);
        const context: HistoryContext = { topology, demo, random: createRandom(plan.seed), plan };
        const faults = plan.faults.filter(name => name !== "crash-prompt").map(name => runFault(context, name));
        const streams = Array.from({ length: plan.streams }, (_, index) => sendStream(context, index, false));
        const calls = Array.from({ length: plan.keys * 2 }, (_, index) => sendCalls(context, index, index % 2 === 0));
        const crashStreams = crashes ? await sendCrashStreams(context) : [];
        const outcomes = [...await Promise.all(streams), ...(await Promise.all(calls)).flat(), ...crashStreams];
        await Promise.all(faults);
        const runs = readRuns(context, folder);
        const engineCrashes: readonly RequestEvent[] = topology.endpoints
            .filter(({ kind, hasExited }) => crashes && kind === "model" && hasExited())
            .map(({ name }) => ({ kind: "engine-crash", endpoint: name }));
        return [...outcomes, ...runs, ...engineCrashes, ...await readReferences(context, outcomes)];
    }
    finally {
        await topology.stop();
    }
}
