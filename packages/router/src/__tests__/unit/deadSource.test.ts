import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";
import test from "ava";

import { engineView } from "../support/engineView.js";
import { entryOf } from "../support/entryOf.js";

const model = "model" as ModelName;
const dead = "e" as EndpointName;
const live = "f" as EndpointName;

// A dead engine named as the source of cached parts delays the first token of each request by some hundred ms.
test("dead source: an engine that cannot be reached is not among those from which parts are fetched", t => {
    const time = { now: 1_000 };
    const view = engineView(time);
    view.read(entryOf(live, { address: "10.0.0.2:80", versions: new Map([[model, 1]]) }));
    view.endpointTable.beginRequest(dead, { missingTokens: 0, memoryTokens: 0, expectedMs: 1 }).end("unreached");
    const peers = new Set<string>();
    view.endpointTable.candidates({
        service: "desk" as ServiceName,
        model,
        promptAt: (_entry, _weights, peersWith) => {
            peersWith().forEach(({ name }) => peers.add(name));
            return { missingTokens: 0, fetchedTokens: 0, source: undefined };
        },
        select: undefined,
        avoid: new Set(),
    });
    t.deepEqual([...peers], [live]);
});
