import { KeyId, ModelName, OrganisationId, RequestId, WeightsVersion } from "@azureshunt/core";

import type { Call } from "../../ports/Call.js";
import type { ModelCall } from "../../ports/ModelCall.js";

const PIECE_TOKENS = 4_096;
const OTHER_TOKENS = 100;

/** Creates a call to a model with an empty prompt and no deadline; `target` and `more` override its fields. */
export function modelCall(id: string, target: Partial<ModelCall> = {}, more: Partial<Call> = {}): Call {
    const pieces = target.pieces ?? [];
    return {
        id: RequestId.parse(id),
        organisation: OrganisationId.parse("hut"),
        keyId: KeyId.parse("key"),
        arrivedAt: 0,
        deadline: Infinity,
        priority: 5,
        target: {
            kind: "model",
            path: "/v1/completions",
            model: ModelName.parse("advisor"),
            version: WeightsVersion.parse("v1"),
            adapter: undefined,
            cacheSalt: "",
            pieces,
            pieceTokens: PIECE_TOKENS,
            promptTokens: pieces.length * PIECE_TOKENS + OTHER_TOKENS,
            maxTokens: 10,
            stream: true,
            body: {},
            ...target,
        },
        signal: new AbortController().signal,
        ...more,
    };
}
