import { EndpointName, FailureDomain } from "@azureshunt/core";
import test from "ava";

import { candidatesOf } from "../../choice/candidatesOf.js";
import { newEndpoint } from "../../state/newEndpoint.js";

const PIECE_TOKENS = 1_000;
const MS_PER_PIECE = 50;
const endpoints = ["a", "b"].map(name =>
    newEndpoint(EndpointName.parse(name), FailureDomain.parse("fd-1"), "http://127.0.0.1:1", false)
);
const candidates = (matched: number[], confirmed: number[], fetchMsPerPiece: number | undefined) =>
    candidatesOf({
        endpoints,
        matched,
        confirmed,
        fetchMsPerPiece,
        promptTokens: 4 * PIECE_TOKENS,
        pieceTokens: PIECE_TOKENS,
        now: 0,
    });

[
    {
        name: "computes missing pieces if fetching is not possible",
        matched: [0, 4],
        confirmed: [0, 4],
        fetchMs: undefined,
        total: 4 * MS_PER_PIECE,
    },
    { name: "fetches missing pieces if that is faster", matched: [0, 4], confirmed: [0, 3], fetchMs: 10, total: 80 },
    { name: "fetches only missing pieces", matched: [2, 4], confirmed: [2, 4], fetchMs: 10, total: 20.05 },
    { name: "computes missing pieces if that is faster", matched: [0, 4], confirmed: [0, 4], fetchMs: 90, total: 200 },
    {
        name: "does not fetch pieces that are only assumed",
        matched: [0, 4],
        confirmed: [0, 0],
        fetchMs: 10,
        total: 200,
    },
].forEach(({ name, matched, confirmed, fetchMs, total }) =>
    test(`candidates: an endpoint ${name}`, t => {
        t.is(candidates(matched, confirmed, fetchMs)[0]?.estimate.total, total);
    })
);

test("candidates: a fetch names its source", t => {
    t.deepEqual(candidates([0, 4], [0, 3], 10)[0]?.fetch, { from: EndpointName.parse("b"), pieces: 3 });
    t.is(candidates([0, 4], [0, 3], 10)[1]?.fetch, undefined);
});
