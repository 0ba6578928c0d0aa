import type { Clock } from "@azureshunt/core";
import test from "ava";

import type { EndpointObservations } from "../../placement/EndpointObservations.js";
import { initialHealth } from "../../placement/initialHealth.js";
import { trackInFlight } from "../../placement/trackInFlight.js";

const cases = [
    { name: "a later one", afterMs: 300, priority: 1, memoryTokens: 50, isOvertaken: true },
    {
        name: "one that was sent at nearly the same time",
        afterMs: 100,
        priority: 1,
        memoryTokens: 50,
        isOvertaken: false,
    },
    { name: "a more urgent one", afterMs: 300, priority: 0, memoryTokens: 50, isOvertaken: false },
    { name: "one that needs less memory", afterMs: 300, priority: 1, memoryTokens: 49, isOvertaken: false },
    { name: "what is no try of a request", afterMs: 300, priority: undefined, memoryTokens: 50, isOvertaken: false },
] as const;

// Guards against a try that waits until its time is up as its engine is alive, although its connection was lost, and against
// sending a request twice that its engine serves later than others.
cases.forEach(({ name, afterMs, priority, memoryTokens, isOvertaken }) => {
    test(`overtaken request: an engine answers ${name} first: ${isOvertaken}`, t => {
        const time = { now: 1_000 };
        const clock = { now: () => time.now } as Clock;
        const observed = {
            health: initialHealth,
            inFlight: [],
            lastActivityAt: -Infinity,
        } as unknown as EndpointObservations;
        const send = (sizes: { readonly priority?: number; readonly memoryTokens: number; }) =>
            trackInFlight({
                clock,
                observed,
                sizes: { missingTokens: 0, expectedMs: 500, ...sizes },
                onBackoff: () => undefined,
            });
        const waiting = send({ priority: 1, memoryTokens: 50 });
        time.now += afterMs;
        const later = send(priority === undefined ? { memoryTokens } : { priority, memoryTokens });
        time.now += 1;
        later.answerStarted();
        t.deepEqual([waiting.isOvertaken(), later.isOvertaken()], [isOvertaken, false]);
        later.end("answered");
        t.is(waiting.isOvertaken(), isOvertaken);
    });
});
