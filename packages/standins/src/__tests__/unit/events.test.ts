import test from "ava";

import { seededRandom } from "../../common/seededRandom.js";
import { createEventStream } from "../../engine/createEventStream.js";
import { manualClock } from "../manualClock.js";

const LAG_MS = 50;

const start = (eventLagMs: number, eventLoss: number, random: () => number = () => 0) => {
    const clock = manualClock();
    const faults = { eventLagMs, eventLoss };
    const events = createEventStream({ incarnation: "i", clock, random, faults: () => faults });
    const seen: number[] = [];
    const end = events.subscribe(0, ({ seq }) => seen.push(seq));
    return { clock, events, seen, end, faults };
};

test("events: delayed events arrive late and in order", t => {
    const { clock, events, seen } = start(LAG_MS, 0);
    events.publish("stored", ["a"]);
    events.publish("removed", ["a"]);
    clock.advance(LAG_MS - 1);
    t.deepEqual(seen, []);
    clock.advance(1);
    t.deepEqual(seen, [1, 2]);
});

test("events: an event does not overtake another when the lag gets shorter", t => {
    const { clock, events, seen, faults } = start(LAG_MS, 0);
    events.publish("stored", ["a"]);
    faults.eventLagMs = 0;
    events.publish("stored", ["b"]);
    clock.advance(LAG_MS);
    t.deepEqual(seen, [1, 2]);
});

test("events: lost events leave gaps in the numbers, the same ones for the same seed", t => {
    const lossy = () => {
        const { clock, events, seen } = start(0, 0.5, seededRandom(7));
        Array.from({ length: 20 }).forEach(() => events.publish("stored", ["a"]));
        clock.advance(0);
        return { seen, seq: events.seq() };
    };
    const first = lossy();
    t.is(first.seq, 20);
    t.true(first.seen.length > 0 && first.seen.length < 20);
    t.deepEqual(lossy(), first);
});

test("events: a subscriber gets the events after its number, and none after it has unsubscribed", t => {
    const { clock, events } = start(0, 0);
    events.publish("stored", ["a"]);
    events.publish("stored", ["b"]);
    clock.advance(0);
    const seen: number[] = [];
    const end = events.subscribe(1, ({ seq }) => seen.push(seq));
    end();
    events.publish("stored", ["c"]);
    clock.advance(0);
    t.deepEqual(seen, [2]);
});
