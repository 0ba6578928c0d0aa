import type { Millis, ModelName, ServiceName } from "@azureshunt/core";

import { entryOf } from "./entryOf.js";
import { placePrompt } from "./placePrompt.js";

const service = "lm" as ServiceName;
const model = "m" as ModelName;

type Placed = Pick<Parameters<typeof placePrompt>[0], "declaredState" | "organisation" | "maxAgeForKeysMs"> & {
    readonly weights?: number;
};

/** Places a request on an engine, and returns the salt of its cached parts. */
export function saltWhenPlaced({ weights = 1, ...placed }: Placed, now: Millis) {
    const engines = [entryOf("e", { service, versions: new Map([[model, weights]]) })];
    return placePrompt({ ...placed, service, model, engines, prefixIndex: { holders: () => [] } }, now)?.salt;
}
