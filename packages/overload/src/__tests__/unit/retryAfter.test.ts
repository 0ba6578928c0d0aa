import test from "ava";

import { forecastRoom } from "../../forecastRoom.js";
import { initialReturns } from "../../initialReturns.js";
import { retryAfterOf } from "../../retryAfterOf.js";
import { stepReturns } from "../../stepReturns.js";
import { simulateReturns } from "../support/simulateReturns.js";

const kind = { timeLeftMs: 3_000, objectiveMs: 2_000 };
const cases = [
    { name: "room at once", forecast: { roomInMs: 0, ahead: 0, perSecond: 10 }, kind, draw: 0.5, seconds: 0.05 },
    {
        name: "room later, two ahead",
        forecast: { roomInMs: 100, ahead: 2, perSecond: 20 },
        kind,
        draw: 0.5,
        seconds: 0.225,
    },
    { name: "no room in time", forecast: { roomInMs: 900, ahead: 0, perSecond: 10 }, kind, draw: 0.5, seconds: 0.3 },
    // Endpoints that are in backoff would still be so when the first refused callers are back.
    {
        name: "not before the floor if the time is not known",
        forecast: { roomInMs: undefined, ahead: 0, perSecond: 50 },
        kind,
        draw: 0.5,
        seconds: 0.26,
    },
    {
        name: "spread over the later half if the floor is the cap",
        forecast: { roomInMs: undefined, ahead: 0, perSecond: 50 },
        kind: { timeLeftMs: 1_050, objectiveMs: 149 },
        draw: 0.5,
        seconds: 0.1875,
    },
    {
        name: "never more than a third of the time left",
        forecast: { roomInMs: 900, ahead: 0, perSecond: 10 },
        kind: { ...kind, timeLeftMs: 300 },
        draw: 0,
        seconds: 0.1,
    },
    {
        name: "a caller whose time is up",
        forecast: { roomInMs: 0, ahead: 0, perSecond: 10 },
        kind: { ...kind, timeLeftMs: -5 },
        draw: 0,
        seconds: 0,
    },
];
cases.forEach(({ name, forecast, draw, seconds, ...rest }) => {
    test(`retryAfterOf: ${name}`, t => {
        t.true(Math.abs(retryAfterOf(forecast, rest.kind, draw) - seconds) < 1e-9);
    });
});

// Callers that come back together, or in any order, find the service full again.
test("forecastRoom: the most urgent callers come back first, and callers do not add up without bound", t => {
    const refuse = (schedule: ReturnType<typeof initialReturns>, priority: number) =>
        stepReturns(schedule, { kind: "refused", priority }, 0);
    const many = Array.from({ length: 1_000 }, () => 2).reduce(refuse, initialReturns(0));
    t.is(forecastRoom(many, 0, 0).ahead, 0);
    t.is(forecastRoom(many, 2, 0).ahead, 5);
    t.is(forecastRoom(stepReturns(many, { kind: "sent" }, 10_000), 2, 0).ahead, 0);
});

// Longer or random delays spread callers further, but they then come back too late for their objective.
[[1, 1, 2.3], [1.9, 1, 2.3], [1, 1, 6], [4.5, 1, 2.3]].forEach(bursts => {
    test(`Retry-After: bursts of ${bursts.join(", ")} times: no kind loses against a constant or random delay`, t => {
        const schedule = simulateReturns("schedule", bursts);
        (["constant", "random"] as const).forEach(way =>
            simulateReturns(way, bursts).forEach((share, i) => {
                t.true((schedule[i] ?? 0) >= share - 0.005, `${way}: ${share}, ${schedule[i]}`);
            })
        );
    });
});
