import type { AdapterName, ModelName, OrganisationId, Refusal, WeightsVersion } from "@azureshunt/core";
import { approximateTokens, cacheSalt, pieceHashes, refusalOf, renderPrompt } from "@azureshunt/core";
import type { Configuration, ModelSpec } from "@azureshunt/release";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { ModelCall } from "../ports/ModelCall.js";
import { ChatRequest } from "./ChatRequest.js";
import { CompletionRequest } from "./CompletionRequest.js";
import { parseJson } from "./parseJson.js";

const CHAT_PATH = "/v1/chat/completions";

/** What both kinds of body have in common once they are read. */
type Prompted = {
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number | undefined;
    readonly stream: boolean;
    readonly body: Readonly<Record<string, unknown>>;
};

type Served = { readonly spec: ModelSpec; readonly adapter: AdapterName | undefined; };

const readChat = (body: Uint8Array): Either<Refusal, Prompted> =>
    parseJson(ChatRequest, body).map(req => ({
        model: req.model,
        prompt: renderPrompt(req.messages),
        maxTokens: req.max_completion_tokens ?? req.max_tokens ?? undefined,
        stream: req.stream === true,
        body: req,
    }));

const readCompletion = (body: Uint8Array): Either<Refusal, Prompted> =>
    parseJson(CompletionRequest, body).map(req => ({
        model: req.model,
        prompt: req.prompt,
        maxTokens: req.max_tokens ?? undefined,
        stream: req.stream === true,
        body: req,
    }));

/** Finds `model` or `model:adapter` in the configuration. */
const findModel = (cfg: Configuration, asked: string): Served | undefined => {
    const exact = cfg.models.get(asked as ModelName);
    if (exact !== undefined) {
        return { spec: exact, adapter: undefined };
    }
    const split = asked.lastIndexOf(":");
    const spec = cfg.models.get(asked.slice(0, Math.max(0, split)) as ModelName);
    const adapter = spec?.adapters.find(name => name === asked.slice(split + 1));
    return spec === undefined || adapter === undefined ? undefined : { spec, adapter };
};

const mayUse = (cfg: Configuration, organisation: OrganisationId, model: ModelName): boolean =>
    cfg.organisations.get(organisation)?.models?.includes(model) ?? true;

/**
 * Reads a call to a model and resolves it against the configuration.
 *
 * @param cfg configuration in force
 * @param organisation whose key came with the call
 * @param versionOf the version of a model that new requests get
 * @param path `/v1/chat/completions` or `/v1/completions`
 * @param body the body as it came
 * @returns Left with `bad-request`, `unknown-model` or `not-allowed`
 */
export function parseModelCall(
    cfg: Configuration,
    organisation: OrganisationId,
    versionOf: (cfg: Configuration, spec: ModelSpec) => WeightsVersion,
    path: string,
    body: Uint8Array,
): Either<Refusal, ModelCall> {
    const read = path === CHAT_PATH ? readChat(body) : readCompletion(body);
    return read.chain(prompted => {
        const served = findModel(cfg, prompted.model);
        if (served === undefined) {
            return Left(refusalOf("unknown-model"));
        }
        const { spec, adapter } = served;
        if (!mayUse(cfg, organisation, spec.name)) {
            return Left(refusalOf("not-allowed"));
        }
        const version = versionOf(cfg, spec);
        const salt = cacheSalt({ organisation, model: spec.name, adapter, version });
        return Right<ModelCall>({
            kind: "model",
            path,
            model: spec.name,
            version,
            adapter,
            cacheSalt: salt,
            pieces: pieceHashes(salt, prompted.prompt, spec.pieceTokens),
            pieceTokens: spec.pieceTokens,
            promptTokens: approximateTokens(prompted.prompt),
            maxTokens: prompted.maxTokens ?? spec.defaultMaxTokens,
            stream: prompted.stream,
            body: prompted.body,
        });
    });
}
