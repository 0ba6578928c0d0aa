import { DispatchId } from "@azureshunt/core";
import { openStream } from "@azureshunt/request";
import test from "ava";

import { failureOfError } from "../../dispatch/failureOfError.js";
import { passStream } from "../../dispatch/passStream.js";
import type { Call } from "../../ports/Call.js";
import type { Metrics } from "../../ports/Metrics.js";

const TRY = DispatchId.parse("try-2");

const event = (position: number, last = false, id: string = TRY): string =>
    `data: ${
        JSON.stringify({ id, position, choices: [{ text: `t${position}`, finish_reason: last ? "stop" : null }] })
    }\n\n`;

async function* bodyOf(parts: readonly (string | Error)[]): AsyncGenerator<Uint8Array> {
    for (const part of parts) {
        if (part instanceof Error) {
            throw part;
        }
        yield Buffer.from(part);
        await Promise.resolve();
    }
}

const withCode = (code: string): Error => Object.assign(new Error(code), { code });
const broken = withCode("UND_ERR_SOCKET");
const silent = withCode("UND_ERR_BODY_TIMEOUT");

// A stream breaks off, and its caller misses a piece, gets one twice, or takes half an answer for a whole one.
[
    { name: "whole", parts: [event(0), event(1, true), "data: [DONE]\n\n"], passed: [0, 1], failure: undefined },
    { name: "whole, without [DONE]", parts: [event(0, true)], passed: [0], failure: undefined },
    { name: "whole, then broken", parts: [event(0, true), broken], passed: [0], failure: undefined },
    { name: "ended cleanly in the middle", parts: [event(0)], passed: [0], failure: "died" },
    { name: "[DONE] in the middle", parts: [event(0), "data: [DONE]\n\n"], passed: [0], failure: "died" },
    { name: "broken in the middle", parts: [event(0), broken], passed: [0], failure: "died" },
    { name: "silent in the middle", parts: [event(0), silent], passed: [0], failure: "silent" },
    { name: "a piece missing", parts: [event(0), event(2)], passed: [0], failure: "gap" },
    { name: "a piece twice", parts: [event(0), event(0), event(1, true)], passed: [0, 1], failure: undefined },
    {
        name: "pieces of another try",
        parts: [event(0, false, "try-1"), event(0, true)],
        passed: [0],
        failure: undefined,
    },
    {
        name: "an event cut in two",
        parts: [event(0).slice(0, 9), event(0).slice(9), event(1, true)],
        passed: [0, 1],
        failure: undefined,
    },
    { name: "an event that is no JSON", parts: ["data: {\n\n"], passed: [], failure: "died" },
].forEach(({ name, parts, passed, failure }) =>
    test(`passing a stream on: ${name}`, async t => {
        const seen: number[] = [];
        const result = await passStream(
            {
                body: bodyOf(parts),
                call: { signal: new AbortController().signal } as Call,
                answer: {
                    piece: ({ position }) => Promise.resolve(void seen.push(position)),
                    complete: () => undefined,
                },
                metrics: { count: () => undefined } as unknown as Metrics,
            },
            openStream(TRY),
        );
        t.deepEqual(seen, passed);
        t.is(result.failure?.kind, failure as "died" | undefined);
    })
);

// A reset of a standing connection passes for a call that was never sent.
const connectRefused = Object.assign(new Error("refused"), { code: "ECONNREFUSED", syscall: "connect" });
const reset = Object.assign(new Error("reset"), { code: "ECONNRESET", syscall: "read" });

[
    { name: "connection refused", err: connectRefused, kind: "unreached" },
    { name: "no connection in time", err: withCode("UND_ERR_CONNECT_TIMEOUT"), kind: "unreached" },
    { name: "connection reset", err: reset, kind: "died" },
    { name: "other end closed", err: broken, kind: "died" },
    { name: "no head in time", err: withCode("UND_ERR_HEADERS_TIMEOUT"), kind: "silent" },
    { name: "no piece in time", err: silent, kind: "silent" },
    { name: "something else", err: "odd", kind: "died" },
].forEach(({ name, err, kind }) =>
    test(`failure of a call: ${name}`, t => {
        t.is(failureOfError(err, undefined).kind, kind as "died");
    })
);

test("failure of a call: the caller is gone", t => {
    t.is(failureOfError(reset, AbortSignal.abort()).kind, "cancelled");
});
