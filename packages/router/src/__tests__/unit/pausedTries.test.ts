import type { Millis } from "@azureshunt/core";
import test from "ava";

import type { createPerformance } from "../../placement/createPerformance.js";
import { endpointTableOf } from "../support/endpointTableOf.js";

type Performance = ReturnType<typeof createPerformance>;

const [EXPECTED_MS, PAUSE_MS, LATER_MS] = [350, 3_000, 1_000] as const;
/** Usual gap between two signs of an endpoint. */
const GAP_MS = 400;

const cases = [
    { name: "after a pause", isPause: true, laterMs: 0, silentMs: 0, triedMs: 0 },
    { name: "if it stays silent after a pause", isPause: true, laterMs: LATER_MS, silentMs: 600, triedMs: LATER_MS },
    { name: "without a pause", isPause: false, laterMs: 0, silentMs: PAUSE_MS - GAP_MS, triedMs: PAUSE_MS },
] as const;

// Guards against avoiding an endpoint whose answers a VM has not read yet, as it has just gone on after a pause.
cases.forEach(({ name, isPause, laterMs, silentMs, triedMs }) => {
    test(`paused tries: how long an endpoint counts as silent ${name}`, t => {
        const sent: { at: readonly Millis[]; } = { at: [] };
        const performance = {
            at: (_entry: unknown, _model: unknown, inFlight: readonly { readonly sentAt: Millis; }[]) => {
                sent.at = inFlight.map(({ sentAt }) => sentAt);
                return {};
            },
        } as unknown as Performance;
        const { endpointTable, time, model, engine } = endpointTableOf(undefined, { performance });
        const [entry] = endpointTable.entries();
        endpointTable.beginRequest(engine, {
            missingTokens: 1,
            memoryTokens: 1,
            expectedMs: EXPECTED_MS,
            predictedMs: 9,
        });
        time.now += PAUSE_MS;
        if (isPause) {
            endpointTable.onPaused();
        }
        time.now += laterMs;
        const [placeable] = endpointTable.candidates({
            service: entry!.service,
            model,
            promptAt: () => ({ missingTokens: 0, fetchedTokens: 0, source: undefined }),
            select: undefined,
            avoid: new Set(),
        });
        t.is(placeable?.candidate.silentMs, silentMs);
        endpointTable.withPerformance(placeable!.candidate as never, undefined);
        t.deepEqual(sent.at.map(at => time.now - at), [triedMs]);
    });
});
