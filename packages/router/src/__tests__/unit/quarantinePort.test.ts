import { createClock } from "@azureshunt/core";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import { pino } from "pino";

import { createQuarantine } from "../../quarantine/createQuarantine.js";
import type { EndpointEntry } from "../../registry/EndpointEntry.js";
import type { ServedRequest } from "../../serve/ServedRequest.js";

const served = {
    caller: { key: "key", method: "POST", host: "host", target: "/v1" },
    body: Buffer.from("poison"),
} as unknown as ServedRequest;
const endpoint = (name: string) => ({ name, address: name, bornAt: 1 }) as unknown as EndpointEntry;

const settlesFirst = (a: Promise<void>, b: Promise<void>): Promise<"first" | "second"> =>
    Promise.race([a.then(() => "first" as const), b.then(() => "second" as const)]);

// A first death that is judged slowly passes for none, and the request goes on to one engine more.
test("quarantine: a request whose second try broke off waits for the verdict on the first one too", async t => {
    const first: { judge?: (died: boolean) => void; } = {};
    const { broke } = createQuarantine({
        clock: createClock(),
        hasDied: address =>
            address === "engine-1" ? new Promise(resolve => (first.judge = resolve)) : Promise.resolve(true),
        logger: pino({ level: "silent" }),
        metrics: createMetrics(),
    });
    await broke(served, endpoint("engine-1"));
    const second = broke(served, endpoint("engine-2"));
    const later = new Promise<void>(resolve => setTimeout(resolve, 50));
    t.is(await settlesFirst(second, later), "second", "it waits");
    first.judge?.(true);
    await second;
});
