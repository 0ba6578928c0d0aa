import type { Millis } from "@azureshunt/core";
import { Incarnation, RecordId, VmId } from "@azureshunt/core";
import test from "ava";
import fc from "fast-check";

import { fencingTokenForOrder } from "../../fencingTokenForOrder.js";
import type { LeaseState } from "../../LeaseState.js";
import { newLease } from "../../newLease.js";
import { stepLease } from "../../stepLease.js";

const SEED = 20_261_202;
const TTL: Millis = 3_000;
const ORDER_MS: Millis = 500;
const CLAIM_AFTER_MS = TTL * 2;

type Logged = { readonly offset: number; readonly id: RecordId; readonly data?: unknown; };

const idOf = (text: string) => RecordId.parse(text);
const leaseOf = (name: string, now = 0) => newLease(VmId.parse(name), Incarnation.parse(`${name}.run`), TTL, now);
const tick = (state: LeaseState, id: string, now: Millis, rank = 0) =>
    stepLease(state, { kind: "tick", rank, id: idOf(id) }, now);
const read = (state: LeaseState, records: readonly Logged[], now: Millis) =>
    stepLease(state, { kind: "read", records }, now).state;
const logOf = (effects: ReturnType<typeof tick>["effects"], from = 0): readonly Logged[] =>
    effects.map((effect, i) => ({ offset: from + i, id: effect.id, data: effect.data }));

/** A daemon that claimed the lease at CLAIM_AFTER_MS and has read its claim. */
const holder = () => {
    const claim = tick(leaseOf("a"), "a-1", CLAIM_AFTER_MS);
    return { state: read(claim.state, logOf(claim.effects), CLAIM_AFTER_MS + 10), log: logOf(claim.effects) };
};

test("lease: no claim before the lease of a previous holder has expired", t => {
    t.deepEqual(tick(leaseOf("a"), "a-1", TTL).effects, []);
    t.is(tick(leaseOf("a"), "a-1", CLAIM_AFTER_MS).effects.length, 1);
});

test("lease: of two claims from the same view of the log only the first is valid", t => {
    // Two VMs claim the lease, each takes its own claim as the valid one, and both send orders.
    const [a, b] = [tick(leaseOf("a"), "a-1", CLAIM_AFTER_MS), tick(leaseOf("b"), "b-1", CLAIM_AFTER_MS)];
    const log = [...logOf(a.effects), ...logOf(b.effects, 1)];
    const states = [a.state, b.state].map(state => read(state, log, CLAIM_AFTER_MS + 10));
    t.deepEqual(states.map(state => state.holder?.vm as string), ["a", "a"]);
    t.deepEqual(states.map(state => fencingTokenForOrder(state, CLAIM_AFTER_MS + 20, true, ORDER_MS)), [0, undefined]);
});

test("lease: a holder that was suspended beyond its lease sends no order", t => {
    // A process is suspended, its lease expires and another daemon takes it. When resumed, it sends its planned orders.
    const { state } = holder();
    t.is(fencingTokenForOrder(state, CLAIM_AFTER_MS + 20, true, ORDER_MS), 0);
    t.is(fencingTokenForOrder(state, CLAIM_AFTER_MS + TTL, true, ORDER_MS), undefined);
});

[
    { name: "checks fencing, lease nearly expired", checks: true, at: CLAIM_AFTER_MS + TTL - 1, allowed: true },
    { name: "ignores fencing, lease nearly expired", checks: false, at: CLAIM_AFTER_MS + TTL - 1, allowed: false },
    {
        name: "ignores fencing, order of the previous holder may still run",
        checks: false,
        at: CLAIM_AFTER_MS + 20,
        allowed: false,
    },
    { name: "ignores fencing, enough time left", checks: false, at: CLAIM_AFTER_MS + 1_000, allowed: true },
].forEach(({ name, checks, at, allowed }) =>
    test(`lease: order to an engine that ${name}`, t => {
        t.is(fencingTokenForOrder(holder().state, at, checks, ORDER_MS) !== undefined, allowed);
    })
);

test("lease: a renewal keeps the fencing token, a later claim has a higher one", t => {
    const { state } = holder();
    const renewed = tick(state, "a-2", CLAIM_AFTER_MS + TTL / 2);
    const after = read(renewed.state, logOf(renewed.effects, 1), CLAIM_AFTER_MS + TTL / 2 + 10);
    t.is(fencingTokenForOrder(after, CLAIM_AFTER_MS + TTL + 100, true, ORDER_MS), 0);
    const other = read(leaseOf("b"), [...holder().log, ...logOf(renewed.effects, 1)], 2 * CLAIM_AFTER_MS);
    const claim = tick(other, "b-1", 4 * CLAIM_AFTER_MS);
    t.is(read(claim.state, logOf(claim.effects, 2), 4 * CLAIM_AFTER_MS + 1).holder?.fencing, 2);
});

test("lease: malformed records are skipped", t => {
    const state = read(leaseOf("a"), [{ offset: 0, id: idOf("x"), data: "nonsense" }, { offset: 1, id: idOf("y") }], 5);
    t.is(state.holder, undefined);
    t.is(state.next, 2);
});

test("lease: never two holders, with any delay of reads, appends and processes", t => {
    const step = fc.record({ who: fc.nat(2), act: fc.constantFrom("tick", "read", "land", "wait"), ms: fc.nat(4_000) });
    fc.assert(
        fc.property(fc.array(step, { minLength: 100, maxLength: 100 }), steps => {
            const names = ["a", "b", "c"];
            const states = names.map(name => leaseOf(name));
            const log: Logged[] = [];
            const inTransit: Omit<Logged, "offset">[][] = names.map(() => []);
            let now = 0;
            steps.forEach(({ who, act, ms }, i) => {
                const state = states[who]!;
                switch (act) {
                    case "tick": {
                        const { state: next, effects } = tick(state, `${names[who]}-${i}`, now);
                        states[who] = next;
                        inTransit[who]!.push(...effects.map(({ id, data }) => ({ id, data })));
                        break;
                    }
                    case "land": {
                        const record = inTransit[who]!.shift();
                        if (record !== undefined) {
                            log.push({ ...record, offset: log.length });
                        }
                        break;
                    }
                    case "read":
                        states[who] = read(state, log.slice(state.next, state.next + 2), now);
                        break;
                    case "wait":
                        now += ms;
                        break;
                }
                const holding = states.filter(each => fencingTokenForOrder(each, now, true, ORDER_MS) !== undefined);
                t.true(holding.length <= 1);
            });
        }),
        { seed: SEED, numRuns: 3_000 },
    );
});
