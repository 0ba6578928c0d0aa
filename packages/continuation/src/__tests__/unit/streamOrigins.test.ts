import type { RequestId } from "@azureshunt/core";
import { OrganisationId } from "@azureshunt/core";
import test from "ava";

import { createStreamOrigins } from "../../createStreamOrigins.js";
import { streamIdOf } from "../../streamIdOf.js";
import { originOf } from "../support/originOf.js";

const LIMIT = 3;
const idOf = (request: string, organisation = "org") =>
    streamIdOf(OrganisationId.parse(organisation), request as RequestId);
const v1 = originOf("e1", "v1");

test("stream origins: an origin is found until its caller gives up", t => {
    const streams = createStreamOrigins(LIMIT);
    streams.record(idOf("r1"), { origin: v1, expiresAt: 100 }, 0);
    t.deepEqual(streams.find(idOf("r1"), 99)?.origin, v1);
    t.is(streams.find(idOf("r1"), 100), undefined);
    t.deepEqual(streams.all(100), []);
});

// Guards against an organisation learning of, or joining, a stream of another one by its request id.
test("stream origins: a request id of another organisation is not found", t => {
    const streams = createStreamOrigins(LIMIT);
    streams.record(idOf("r1"), { origin: v1, expiresAt: 100 }, 0);
    t.is(streams.find(idOf("r1", "other"), 0), undefined);
});

const repeated = [
    { name: "at the same version", origin: originOf("e2", "v1"), isAmbiguous: false },
    { name: "at another version", origin: originOf("e2", "v2"), isAmbiguous: true },
    { name: "at an endpoint that states no version", origin: originOf("e2", undefined), isAmbiguous: true },
] as const;
// Guards against a stream being joined to another one whose caller used the same request id.
repeated.forEach(({ name, origin, isAmbiguous }) => {
    test(`stream origins: an id that is used again ${name} is ${isAmbiguous ? "ambiguous" : "known"}`, t => {
        const streams = createStreamOrigins(LIMIT);
        streams.record(idOf("r1"), { origin: v1, expiresAt: 100 }, 0);
        streams.record(idOf("r1"), { origin, expiresAt: 50 }, 0);
        t.is(streams.find(idOf("r1"), 99)?.origin === "ambiguous", isAmbiguous);
        streams.record(idOf("r1"), { origin: v1, expiresAt: 100 }, 0);
        t.is(streams.find(idOf("r1"), 99)?.origin === "ambiguous", isAmbiguous);
    });
});

test("stream origins: the oldest are removed from a full table, and expired ones before", t => {
    const streams = createStreamOrigins(LIMIT);
    ["r1", "r2", "r3", "r4"].forEach(id => streams.record(idOf(id), { origin: v1, expiresAt: 100 }, 0));
    t.deepEqual(["r1", "r2", "r3", "r4"].map(id => streams.find(idOf(id), 0) !== undefined), [false, true, true, true]);
    streams.record(idOf("r5"), { origin: v1, expiresAt: 300 }, 200);
    t.is(streams.size(), 1);
});

test("stream origins: ids are short, however long a request id is", t => {
    t.is(idOf("r".repeat(10_000)).length, 16);
});
