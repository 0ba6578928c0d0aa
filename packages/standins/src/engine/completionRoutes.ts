import { randomUUID } from "node:crypto";

import { header } from "../common/header.js";
import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import type { AnswerIdentity } from "./AnswerIdentity.js";
import { answerSeed } from "./answerSeed.js";
import { CompletionBody } from "./CompletionBody.js";
import { delayWriter } from "./delayWriter.js";
import type { Engine } from "./Engine.js";
import { findHolding } from "./findHolding.js";
import { hashPieces } from "./hashPieces.js";
import type { Holding } from "./Holding.js";
import { promptOf } from "./promptOf.js";
import type { Sequence } from "./Sequence.js";
import { streamAnswer } from "./streamAnswer.js";
import { takeStreamFault } from "./takeStreamFault.js";
import { wholeAnswer } from "./wholeAnswer.js";

const BYTES_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 16;
const CRASH_EXIT_CODE = 137;
const NOT_RUN = { "x-not-run": "1" };

const refuseWhereAsked = ({ switches, ready }: Engine): void => {
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
        const status = found.kind === "unknown" ? 404 : 412;
        throw new HttpError(status, "These weights are not held here.", NOT_RUN);
    }
    return found.holding;
};

/** The routes that run requests. */
export function completionRoutes(engine: Engine): readonly Route[] {
    const { clock, flags, history, scheduler, switches } = engine;
    let arrivals = 0;
    let previous: AnswerIdentity | undefined;

    const identityOf = (own: AnswerIdentity): AnswerIdentity => {
        const { crossAnswers } = switches.current();
        const crossed = crossAnswers > 0 ? previous : undefined;
        if (crossed !== undefined) {
            switches.update({ crossAnswers: crossAnswers - 1 });
        }
        previous = own;
        return crossed ?? own;
    };
    const sequenceOf = (body: CompletionBody, prompt: Buffer): Sequence => {
        arrivals += 1;
        const asked = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
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
            endPosition: Math.min(asked, flags.maxAnswerTokens),
        };
    };
    const run = (request: HttpRequest, body: CompletionBody, holding: Holding): void => {
        const { req, res } = request;
        const prompt = promptOf(body);
        const dispatchId = header(req, "x-dispatch-id") ?? randomUUID();
        const sequence = sequenceOf(body, prompt);
        const seed = answerSeed({ prompt, ...holding, adapter: holding.adapter ?? "" });
        const { crashOn, answerDelayMs } = switches.current();
        const crashes = crashOn !== "" && prompt.includes(crashOn);
        const asked = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS;
        const direct = (body.stream ? streamAnswer : wholeAnswer)({
            res,
            identity: identityOf({ dispatchId, seed }),
            incarnation: engine.incarnation,
            model: body.model,
            chat: request.path.includes("/chat/"),
            promptTokens: sequence.promptTokens - body.resume_from,
            finishReason: sequence.endPosition < asked ? "stop" : "length",
            fault: takeStreamFault(switches),
        });
        const writer = delayWriter(direct, clock, answerDelayMs);
        let tokens = 0;
        let ended = false;
        const end = (outcome: "complete" | "cancelled"): void => {
            ended = true;
            history.add({ kind: "end", dispatchId, outcome, tokens, at: clock.now() });
        };
        const cancel = scheduler.submit(sequence, {
            started: ({ cachedTokens }) => {
                history.add({
                    kind: "run",
                    organisation: header(req, "x-organisation"),
                    dispatchId,
                    ...holding,
                    adapter: holding.adapter,
                    promptTokens: sequence.promptTokens - body.resume_from,
                    cachedTokens,
                    resumeFrom: body.resume_from,
                    priority: body.priority,
                    pieces: sequence.pieces,
                    at: clock.now(),
                });
                if (crashes) {
                    process.exit(CRASH_EXIT_CODE);
                }
                writer.started(cachedTokens);
            },
            token: (position, last) => {
                tokens += 1;
                if (last) {
                    end("complete");
                }
                writer.token(position, last);
            },
        });
        res.on("close", () => {
            if (!ended) {
                cancel();
                end("cancelled");
            }
        });
    };
    const handle = async (request: HttpRequest): Promise<void> => {
        const body = await readJson(request.req, CompletionBody);
        refuseWhereAsked(engine);
        run(request, body, holdingFor(engine, request, body));
    };
    return [{ method: "POST", pattern: /^\/v1\/(?:chat\/)?completions$/, handle }];
}
