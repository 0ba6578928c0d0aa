import type { EndpointName, ModelName } from "@azureshunt/core";
import test from "ava";

import { engineView } from "../support/engineView.js";

const engine = "e" as EndpointName;
const model = "model" as ModelName;

// An engine that starts again under its name has no order, and gets no requests for seconds if the other VMs still send
// the one of before.
test("orders of an earlier incarnation: a beacon about one does not keep requests from the engine", t => {
    const time = { now: 1_000 };
    const holder = engineView(time);
    const other = engineView(time);
    const moves = { count: 0 };
    other.endpointTable.onOrdered(engine, model, () => {
        moves.count += 1;
    });
    const order = { model, version: 3, issuedAt: time.now, seenAt: time.now, isOwn: true };
    holder.endpointTable.recordOrder(engine, order);
    time.now += 300;
    // The other VM reads the entry of the new incarnation before the holder of the lease does.
    other.read({ bornAt: 2 });
    t.deepEqual(other.placeable(), [[engine, 1]]);
    other.receive({ ordered: holder.endpointTable.ownOrders() });
    t.deepEqual(other.placeable(), [[engine, 1]]);
    t.is(moves.count, 0, "no stream leaves the engine");
});
