import { randomUUID } from "node:crypto";

import { header } from "../common/header.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import type { AnswerIdentity } from "./AnswerIdentity.js";
import { answerSeed } from "./answerSeed.js";
import type { AnswerWriter } from "./AnswerWriter.js";
import { CompletionBody } from "./CompletionBody.js";
import { delayWriter } from "./delayWriter.js";
import type { Engine } from "./Engine.js";
import type { RunEntry } from "./EngineEntry.js";
import { findHolding } from "./findHolding.js";
import { hashPieces } from "./hashPieces.js";
import type { Holding } from "./Holding.js";
import { jsonAnswer } from "./jsonAnswer.js";
import { promptOf } from "./promptOf.js";
import type { Sequence } from "./Sequence.js";
import { streamAnswer } from "./streamAnswer.js";
import { takeStreamFault } from "./takeStreamFault.js";

const BYTES_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 16;
const CRASH_EXIT_CODE = 137;
const NOT_RUN = { "x-not-run": "1" };

const refuseIfNotReady = ({ switches, ready }: Engine): void => {
    const { refuse } = switches.current();
    if (refuse > 0) {
        switches.update({ refuse: refuse - 1 });
    }
    if (refuse > 0 || !ready()) {
        throw new HttpError(503, "Not ready.", { ...NOT_RUN, "retry-after": "1" });
    }
};

const holdingFor = (engine: Engine, request: HttpRequest, body: CompletionBody): Holding => {
    const [model = "", suffix] = body.model.split(":");
    const found = findHolding(engine.weights().holds, {
        model,
        adapter: header(request.req, "x-adapter") ?? suffix,
        version: header(request.req, "x-weights-version"),
    });
    if (found.kind !== "held") {
        const status = found.kind === "unknown-model" ? 404 : 412;
        throw new HttpError(status, "These weights are not held here.", NOT_RUN);
    }
    return found.holding;
};

const requestedTokens = (body: CompletionBody): number =>
    body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;

/** One request in processing. */
type Job = {
    readonly request: HttpRequest;
    readonly body: CompletionBody;
    readonly holding: Holding;
    readonly prompt: Buffer;
    readonly dispatchId: string;
    readonly sequence: Sequence;
    readonly arrivedAt: number;
};

const promptTokensOf = ({ sequence, body }: Job): number => sequence.promptTokens - body.resume_from;

const runEntryOf = (job: Job, cachedTokens: number, at: number): RunEntry => ({
    kind: "run",
    organisation: header(job.request.req, "x-organisation"),
    dispatchId: job.dispatchId,
    model: job.holding.model,
    adapter: job.holding.adapter,
    version: job.holding.version,
    promptTokens: promptTokensOf(job),
    cachedTokens,
    resumeFrom: job.body.resume_from,
    priority: job.body.priority,
    pieces: job.sequence.pieces,
    arrivedAt: job.arrivedAt,
    at,
});

/** Creates the routes that run requests. */
export function completionRoutes(engine: Engine): readonly Route[] {
    const { clock, flags, history, scheduler, switches } = engine;
    let arrivals = 0;
    let previousIdentity: AnswerIdentity | undefined;

    const takeIdentity = (own: AnswerIdentity): AnswerIdentity => {
        const { crossAnswers } = switches.current();
        const crossed = crossAnswers > 0 ? previousIdentity : undefined;
        if (crossed !== undefined) {
            switches.update({ crossAnswers: crossAnswers - 1 });
        }
        previousIdentity = own;
        return crossed ?? own;
    };
    const sequenceOf = (body: CompletionBody, prompt: Buffer): Sequence => {
        arrivals += 1;
        return {
            id: randomUUID(),
            priority: body.priority,
            order: arrivals,
            pieces: hashPieces(body.cache_salt, prompt, flags.pieceTokens),
            pieceTokens: flags.pieceTokens,
            promptTokens: Math.max(Math.ceil(prompt.length / BYTES_PER_TOKEN), 1) + body.resume_from,
            computedTokens: 0,
            cachedTokens: 0,
            position: body.resume_from,
            endPosition: Math.min(requestedTokens(body), flags.maxAnswerTokens),
        };
    };
    const writerOf = (job: Job): AnswerWriter => {
        const { body, dispatchId, holding, prompt, request, sequence } = job;
        const seed = answerSeed({ prompt, ...holding, adapter: holding.adapter ?? "" });
        const undelayed = (body.stream ? streamAnswer : jsonAnswer)({
            res: request.res,
            identity: takeIdentity({ dispatchId, seed }),
            incarnation: engine.incarnation,
            model: body.model,
            chat: request.path.includes("/chat/"),
            promptTokens: promptTokensOf(job),
            finishReason: sequence.endPosition < requestedTokens(body) ? "stop" : "length",
            fault: takeStreamFault(switches),
        });
        return delayWriter(undelayed, clock, switches.current().answerDelayMs);
    };
    const crashIfConfigured = ({ prompt }: Job): void => {
        const { crashOn } = switches.current();
        if (crashOn !== "" && prompt.includes(crashOn)) {
            process.exit(CRASH_EXIT_CODE);
        }
    };
    const run = (job: Job): void => {
        const writer = writerOf(job);
        let tokens = 0;
        let ended = false;
        let firstTokenAt: number | undefined;
        const end = (outcome: "complete" | "cancelled"): void => {
            ended = true;
            const { dispatchId } = job;
            history.add({ kind: "end", dispatchId, outcome, tokens, firstTokenAt, at: clock.now() });
        };
        const cancel = scheduler.submit(job.sequence, {
            started: ({ cachedTokens }) => {
                history.add(runEntryOf(job, cachedTokens, clock.now()));
                crashIfConfigured(job);
                writer.started(cachedTokens);
            },
            token: (position, last) => {
                tokens += 1;
                firstTokenAt ??= clock.now();
                if (last) {
                    end("complete");
                }
                writer.token(position, last);
            },
        });
        job.request.res.on("close", () => {
            if (!ended) {
                cancel();
                end("cancelled");
            }
        });
    };
    const handle = async (request: HttpRequest): Promise<void> => {
        const body = await readJson(request.req, CompletionBody);
        const arrivedAt = clock.now();
        refuseIfNotReady(engine);
        const holding = holdingFor(engine, request, body);
        const prompt = promptOf(body);
        const dispatchId = header(request.req, "x-dispatch-id") ?? randomUUID();
        run({ request, body, holding, prompt, dispatchId, sequence: sequenceOf(body, prompt), arrivedAt });
    };
    return [{ method: "POST", pattern: /^\/v1\/(?:chat\/)?completions$/, handle }];
}
