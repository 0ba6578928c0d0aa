import type { ModelName, ServiceName } from "@azureshunt/core";
import test from "ava";

import { partKeysOf } from "../../partKeysOf.js";

const keysOf = (ids: readonly string[], service = "s", model = "m") =>
    partKeysOf({ service: service as ServiceName, model: model as ModelName, parts: ids.map(id => ({ id })) });

test("part keys: the last part, which is the request's own, has none", t => {
    t.is(keysOf(["a", "b", "own"]).length, 2);
    t.is(keysOf(["own"]).length, 0);
});

test("part keys: a part is the same at any position, and another one for another service or model", t => {
    t.is(keysOf(["a", "own"])[0], keysOf(["b", "a", "own"])[1]);
    t.not(keysOf(["a", "own"])[0], keysOf(["a", "own"], "t")[0]);
    t.not(keysOf(["a", "own"])[0], keysOf(["a", "own"], "s", "n")[0]);
});
