import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { createClock } from "@azureshunt/core";
import test from "ava";
import { Left, Right } from "purify-ts";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { startDeclarations } from "../../knowledge/startDeclarations.js";
import type { ReceivedBeacon } from "../../peers/ReceivedBeacon.js";
import { declarationParts } from "../support/declarationParts.js";
import { routingOf } from "../support/routingOf.js";

const waitUntil = async (isDone: () => boolean): Promise<void> => {
    while (!isDone()) {
        await new Promise(done => setTimeout(done, 5));
    }
};

/**
 * Starts the declarations of a VM whose store has one revision and refuses reads after `loseStore`. A peer serves
 * `peerRevision`.
 */
const startVmDeclarations = async (revision: number, peerRevision: number) => {
    const peer = createServer((_, res) => res.end(String(peerRevision)));
    await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    const clock = createClock();
    const state = { isDown: false };
    const page = { records: [{ offset: 0, key: "config", value: Buffer.from(String(revision)) }], end: 1 };
    const noRecords = { records: [], end: 1 };
    const store = {
        newest: () => Promise.resolve(Right(page)),
        read: () => Promise.resolve(state.isDown ? Left({ kind: "unreachable" } as const) : Right(noRecords)),
    };
    const decodeDeclaration = (_: string, value: Buffer) =>
        Right({ kind: "configuration", configuration: routingOf(Number(value.toString()), []) });
    const agent = new EndpointAgent(clock.now);
    const declarations = startDeclarations(declarationParts({ clock, agent, store, decodeDeclaration }));
    await waitUntil(() => declarations.current().configuration !== undefined);
    const confirm = (): void => {
        const now = clock.now();
        const beacon = { weights: [], revision: peerRevision, confirmedMs: 0 };
        const received = { beacon, sentAfter: now, stampedAt: now } as unknown as ReceivedBeacon;
        declarations.applyBeacon(received, `127.0.0.1:${(peer.address() as AddressInfo).port}`);
    };
    const stop = (): void => {
        declarations.stop();
        agent.destroy();
        peer.close();
    };
    return { declarations, confirm, stop, loseStore: () => void (state.isDown = true) };
};

test("relay answers: returns the records that the relay has read, from an offset on", async t => {
    const { declarations, stop } = await startVmDeclarations(1, 1);
    t.teardown(stop);
    t.deepEqual(declarations.answer(undefined)?.records.map(({ offset }) => offset), [0]);
    t.deepEqual(declarations.answer(1)?.records, []);
    t.is(declarations.answer(1)?.end, 1);
});

// A relay that cannot reach the store confirms a configuration that it got from a peer, but has no record of it to
// return. If it answered, a VM that queries it would take its own older record for the newest.
test("relay answers: no answer from a relay that got the newest configuration from a peer", async t => {
    const { declarations, confirm, stop, loseStore } = await startVmDeclarations(1, 2);
    t.teardown(stop);
    loseStore();
    await waitUntil(() => {
        confirm();
        return declarations.current().configuration?.revision === 2;
    });
    confirm();
    t.is(declarations.answer(1), undefined);
});
