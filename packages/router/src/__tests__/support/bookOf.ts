import type { EndpointName, FailureDomain, Millis, ModelName } from "@azureshunt/core";

import { noKnowledge } from "../../knowledge/noKnowledge.js";
import { stepKnowledge } from "../../knowledge/stepKnowledge.js";
import { createEndpointBook } from "../../placement/createEndpointBook.js";
import type { EndpointBook } from "../../placement/EndpointBook.js";
import { entryOf } from "./entryOf.js";

type BookOfOne = {
    readonly book: EndpointBook;
    readonly time: { now: Millis; };
    readonly model: ModelName;
    readonly engine: EndpointName;
    /** Engines on weights that were replaced longer ago get no requests. */
    readonly servesForMs: Millis;
};

/** A book with one engine on version 1 of a model, of which version 2 has just been named; its clock is set by the test. */
export function bookOf(address = "10.0.0.1:80"): BookOfOne {
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
    book.tellRegistry({ kind: "whole", entries: [entryOf(engine, { address, versions: new Map([[model, 1]]) })] });
    return { book, time, model, engine, servesForMs };
}
