import type { EndpointName, FailureDomain, Millis, ModelName } from "@azureshunt/core";

import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { stepKnowledge } from "../../knowledge/stepKnowledge.js";
import { createEndpointBook } from "../../placement/createEndpointBook.js";
import type { EndpointBook } from "../../placement/EndpointBook.js";
import { entryOf } from "./entryOf.js";

type OneEngineTable = {
    readonly book: EndpointBook;
    readonly time: { now: Millis; };
    readonly model: ModelName;
    readonly engine: EndpointName;
    /** Engines whose weights were replaced longer ago than this get no requests. */
    readonly servesForMs: Millis;
};

/**
 * Creates an endpoint table with one engine on version 1 of a model whose target has just become version 2. The test
 * sets the clock through `time`.
 */
export function bookOf(address = "10.0.0.1:80"): OneEngineTable {
    const model = "model" as ModelName;
    const engine = "e" as EndpointName;
    const servesForMs = 10_500;
    const time = { now: 1_000 };
    const knowledge = stepKnowledge(noKnowledge, { kind: "weights", model, version: 2 }, time.now);
    const book = createEndpointBook({
        clock: { now: () => time.now, epoch: () => time.now },
        failureDomain: "fd" as FailureDomain,
        knowledge: () => knowledge,
        othersAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
        quietMs: () => 0,
        outdatedLimitMs: () => servesForMs,
        onChange: () => undefined,
        onGone: () => undefined,
    });
    book.applyRegistryEvent({
        kind: "whole",
        entries: [entryOf(engine, { address, versions: new Map([[model, 1]]) })],
    });
    return { book, time, model, engine, servesForMs };
}
