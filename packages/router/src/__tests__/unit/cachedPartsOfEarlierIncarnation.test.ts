import type { EndpointName } from "@azureshunt/core";
import test from "ava";

import { engineView } from "../support/engineView.js";

const engine = "e" as EndpointName;
const chain = [{ key: "manual", tokens: 6_000 }, { key: "own", tokens: 70 }];

// An engine that starts again under its name holds no parts; a prompt that is sent there as if it did is prefilled whole.
test("cached parts of an earlier incarnation: those that a beacon lists are not taken for parts of the new one", t => {
    const time = { now: 1_000 };
    const sender = engineView(time);
    const other = engineView(time);
    sender.prefixIndex.record(engine, chain, time.now);
    other.read({ bornAt: 2 });
    other.placeable();
    other.receive({ cached: sender.prefixIndex.drainUpdates() });
    t.deepEqual(other.prefixIndex.holders(chain, time.now), []);
});

test("cached parts of an earlier incarnation: those that this VM has not sent yet are not sent any more", t => {
    const time = { now: 1_000 };
    const sender = engineView(time);
    sender.prefixIndex.record(engine, chain, time.now);
    sender.read({ bornAt: 2 });
    sender.placeable();
    t.deepEqual(sender.prefixIndex.drainUpdates().flatMap(([, parts]) => parts), []);
});

test("cached parts of an earlier incarnation: those that this VM knows of are forgotten", t => {
    const time = { now: 1_000 };
    const sender = engineView(time);
    sender.prefixIndex.record(engine, chain, time.now);
    sender.read({ bornAt: 2 });
    sender.placeable();
    t.deepEqual(sender.prefixIndex.holders(chain, time.now), []);
});
