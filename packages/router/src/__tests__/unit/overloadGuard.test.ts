import type { IncomingMessage } from "node:http";
import { Duplex } from "node:stream";

import type { OrganisationId } from "@azureshunt/core";
import test from "ava";

import type { Route } from "../../configuration/Route.js";
import type { RouteName } from "../../configuration/RouteName.js";

import { createOverloadGuard } from "../../serve/createOverloadGuard.js";
import { createTickLag } from "../../serve/createTickLag.js";
import { isTooLate } from "../../serve/isTooLate.js";

const INTERVAL_MS = 100;
const route = { name: "plain" as RouteName, priority: 1, objectiveMs: 149 };

const start = () => {
    const time = { now: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const lag = createTickLag(clock, INTERVAL_MS);
    const overload = createOverloadGuard({ clock, random: () => 0.5, lag });
    const tickAfter = (ms: number): void => {
        time.now += ms;
        lag.tick();
        overload.tick();
    };
    const record = (): void => Array.from({ length: 5 }).forEach(() => overload.recordAnswer(route, 900));
    return { time, clock, overload, tickAfter, record };
};

// A time that includes this VM's own lag would make requests look too late that endpoints answer at once.
test("overload guard: answers do not count while ticks are late or overdue", t => {
    const { time, overload, tickAfter, record } = start();
    tickAfter(500);
    record();
    t.is(overload.shortestAnswerMs(route), 0);
    Array.from({ length: 20 }).forEach(() => tickAfter(INTERVAL_MS));
    time.now += 200;
    record();
    t.is(overload.shortestAnswerMs(route), 0);
    time.now -= 200;
    record();
    t.is(overload.shortestAnswerMs(route), 900);
});

// A route whose requests all look too late would get no answer that shows otherwise.
test("isTooLate: a probe is sent although answers have taken too long, unless its caller has left", t => {
    const { clock, overload, record } = start();
    record();
    const isLate = (sendBefore: number, isProbe: boolean): boolean =>
        isTooLate({ clock, overload }, { route: route as Route, sendBefore, isProbe });
    t.deepEqual([isLate(1_000, false), isLate(800, false), isLate(800, true), isLate(0, true)], [
        false,
        true,
        false,
        true,
    ]);
});

// Callers that do not come back would delay those that do.
test("overload guard: a refused caller without time left takes no turn of those that return", t => {
    const { overload } = start();
    const secondsOf = (timeLeftMs: number): number =>
        overload.retryAfterSeconds({
            service: undefined,
            route: { priority: 1, objectiveMs: 5_000 },
            timeLeftMs,
            roomInMs: 0,
        });
    t.deepEqual([secondsOf(0), secondsOf(30_000)], [0, 0.5]);
});

// A pause of 1.4 s would otherwise make all requests of the next interval look as if they had waited for so long.
test("overload guard: a late tick counts for the two turns of the event loop that read what has waited", async t => {
    const { overload, tickAfter } = start();
    const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    const mostMs = (): number =>
        overload.enter({ socket: new Duplex() } as unknown as IncomingMessage, undefined).waited.most;
    tickAfter(1_400);
    const waits = [mostMs()];
    await nextTurn();
    waits.push(mostMs());
    await nextTurn();
    waits.push(mostMs());
    t.deepEqual(waits, [1_400, 1_400, 0]);
});

// Guards against requests that are counted for the wrong organisation, so that all are refused alike.
test("overload guard: the organisation that sends most is refused, the others are not", t => {
    const { overload, tickAfter } = start();
    const req = { socket: new Duplex() } as unknown as IncomingMessage;
    const [heavy, light] = ["heavy" as OrganisationId, "light" as OrganisationId];
    const send = (organisation: OrganisationId | undefined, count: number): void =>
        Array.from({ length: count }).forEach(() => overload.enter(req, route, organisation));
    Array.from({ length: 20 }).forEach(() => {
        send(heavy, 12);
        send(light, 2);
        send(undefined, 2);
        tickAfter(2 * INTERVAL_MS);
    });
    t.is(overload.groups(), 3);
    const fractions = [heavy, light, undefined].map(id => overload.refusedFractions(route, id));
    t.true(fractions.every(({ ofKind }) => ofKind > 0.3));
    t.true((fractions[0]?.ofOrganisation ?? 0) > (fractions[0]?.ofKind ?? 1));
    t.true(fractions.slice(1).every(({ ofOrganisation, ofKind }) => ofOrganisation < ofKind));
    const head = overload.enter(req, route, heavy);
    t.false(overload.admits(route, head));
});
