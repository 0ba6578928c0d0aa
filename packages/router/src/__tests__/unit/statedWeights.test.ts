import type { ModelName, RequestId } from "@azureshunt/core";
import test from "ava";

import { statedWeights } from "../../serve/statedWeights.js";

const model = "alpha" as ModelName;
const prompt = { model, promptTokens: 10, outputTokens: 1, parts: [] };

const cases = [
    { name: "to this request: of its model", requestId: "own", weights: 7, stated: { model, version: 7 } },
    { name: "that names no request: of its model", requestId: undefined, weights: 7, stated: { model, version: 7 } },
    { name: "to another request: of none", requestId: "late", weights: 7, stated: undefined },
    { name: "without a version: of none", requestId: "own", weights: undefined, stated: undefined },
    { name: "of a plain service: of none", requestId: "own", weights: 7, isPlain: true, stated: undefined },
];

// Guards against the version of a late answer for one model that is taken for that of another: its requests are rejected.
cases.forEach(({ name, requestId, weights, isPlain = false, stated }) => {
    test(`weights that an answer states: ${name}`, t => {
        const caller = { id: "own" as RequestId, prompt: isPlain ? undefined : prompt };
        const served = { caller } as Parameters<typeof statedWeights>[1];
        t.deepEqual(statedWeights({ requestId: requestId as RequestId | undefined, weights }, served), stated);
    });
});
