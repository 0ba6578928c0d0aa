import type { ModelName, ServiceName } from "@azureshunt/core";
import test from "ava";

import type { RoutingConfiguration } from "../../configuration/RoutingConfiguration.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { chainOf } from "../../placement/chainOf.js";
import { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import { entryOf } from "../support/entryOf.js";
import { placePrompt } from "../support/placePrompt.js";
import { routingOf } from "../support/routingOf.js";

const alpha = "alpha" as ModelName;
const beta = "beta" as ModelName;
const service = "lm" as ServiceName;
const NOW = 1_000;
const TOKENS = 810;
const shared = [{ id: "p", tokens: 800 }];

const engineOf = (name: string, models: readonly ModelName[]) =>
    entryOf(name, { service, address: `${name}:80`, versions: new Map(models.map(model => [model, 1])) });
const configuration: RoutingConfiguration = {
    ...routingOf(1, []),
    services: new Map([[service, {
        name: service,
        maxConnections: 96,
        engine: { slots: 6, holdMs: undefined, cacheTokens: 100_000 },
        cacheStore: undefined,
    }]]),
};

const cases = [
    { name: "the model itself: it is read nowhere again", readFor: beta, at: ["e"], missing: 10 },
    { name: "another model: it is read as if no engine held it", readFor: alpha, at: ["e"], missing: TOKENS },
    { name: "another model: it is not fetched either", readFor: alpha, at: ["e", "f"], missing: TOKENS },
] as const;

// Guards against parts of a prompt that are taken for cached because an engine has read them for another model: the prompt
// goes to that engine, or fetches from it, and is read whole all the same.
cases.forEach(({ name, readFor, at, missing }) => {
    test(`cached parts of models: a part was read for ${name}`, t => {
        const prefixIndex = createPrefixIndex(() => ({ expiryMs: 8_000, size: 100_000 }));
        prefixIndex.record("e", chainOf("w1", { model: readFor, parts: shared }), NOW);
        const place = placePrompt({
            declaredState: { ...initialDeclaredState, configuration, confirmedAt: NOW },
            organisation: undefined,
            maxAgeForKeysMs: 5_000,
            service,
            model: beta,
            engines: at.map(engine => engineOf(engine, engine === "e" ? [alpha, beta] : [beta])),
            prefixIndex,
        }, NOW);
        t.is(place?.missingTokens, missing);
        t.is(place?.source, undefined);
    });
});
