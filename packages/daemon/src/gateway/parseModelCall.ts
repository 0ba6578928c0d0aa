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

/** Fields that chat and completion bodies have in common. */
type ParsedBody = {
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number | undefined;
    readonly stream: boolean;
    readonly body: Readonly<Record<string, unknown>>;
};

type ResolvedModel = { readonly spec: ModelSpec; readonly adapter: AdapterName | undefined; };

const parseChat = (body: Uint8Array): Either<Refusal, ParsedBody> =>
    parseJson(ChatRequest, body).map(req => ({
        model: req.model,
        prompt: renderPrompt(req.messages),
        maxTokens: req.max_completion_tokens ?? req.max_tokens ?? undefined,
        stream: req.stream === true,
        body: req,
    }));

const parseCompletion = (body: Uint8Array): Either<Refusal, ParsedBody> =>
    parseJson(CompletionRequest, body).map(req => ({
        model: req.model,
        prompt: req.prompt,
        maxTokens: req.max_tokens ?? undefined,
        stream: req.stream === true,
        body: req,
    }));

/** Looks up `model` or `model:adapter` in the configuration. */
const findModel = (cfg: Configuration, requestedName: string): ResolvedModel | undefined => {
    const exact = cfg.models.get(requestedName as ModelName);
    if (exact !== undefined) {
        return { spec: exact, adapter: undefined };
    }
    const colon = requestedName.lastIndexOf(":");
    const spec = cfg.models.get(requestedName.slice(0, Math.max(0, colon)) as ModelName);
    const adapter = spec?.adapters.find(name => name === requestedName.slice(colon + 1));
    return spec === undefined || adapter === undefined ? undefined : { spec, adapter };
};

const mayUse = (cfg: Configuration, organisation: OrganisationId, model: ModelName): boolean =>
    cfg.organisations.get(organisation)?.models?.includes(model) ?? true;

/**
 * Parses a call to a model and resolves it against the configuration.
 *
 * @param organisation organisation of the caller's key
 * @param versionOf returns the weights version of a model for new requests
 * @param path `/v1/chat/completions` or `/v1/completions`
 * @param body the unparsed body
 * @returns Left with `bad-request`, `unknown-model` or `not-allowed`
 */
export function parseModelCall(
    cfg: Configuration,
    organisation: OrganisationId,
    versionOf: (cfg: Configuration, spec: ModelSpec) => WeightsVersion,
    path: string,
    body: Uint8Array,
): Either<Refusal, ModelCall> {
    const parsed = path === CHAT_PATH ? parseChat(body) : parseCompletion(body);
    return parsed.chain(parsedBody => {
        const resolved = findModel(cfg, parsedBody.model);
        if (resolved === undefined) {
            return Left(refusalOf("unknown-model"));
        }
        const { spec, adapter } = resolved;
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
            pieces: pieceHashes(salt, parsedBody.prompt, spec.pieceTokens),
            pieceTokens: spec.pieceTokens,
            promptTokens: approximateTokens(parsedBody.prompt),
            maxTokens: parsedBody.maxTokens ?? spec.defaultMaxTokens,
            stream: parsedBody.stream,
            body: parsedBody.body,
        });
    });
}
