import type { FailureDomain, Millis, ModelName } from "@azureshunt/core";
import test from "ava";

import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { outdatedSince } from "../../knowledge/outdatedSince.js";
import { stepDeclaredState } from "../../knowledge/stepDeclaredState.js";
import { targetRowsOf } from "../../knowledge/targetRowsOf.js";
import type { Beacon } from "../../peers/Beacon.js";
import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import { createEndpointTable } from "../../placement/createEndpointTable.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { entryOf } from "../support/entryOf.js";
import { seededRandom } from "../support/seededRandom.js";
import { startTargetDeclarations } from "../support/startTargetDeclarations.js";

const MODEL = "model" as ModelName;
const SERVES_FOR_MS = 8_500;
const START = 60_000;

/** Encodes and decodes target rows as on the wire. */
const sendRows = (weights: Beacon["weights"]): Beacon => {
    const sent = { ...emptyBeacon, weights };
    const [beacon] = createBeaconEncoder(sent)(sent).map(decodeBeacon);
    if (beacon === undefined) {
        throw new Error("the beacon cannot be decoded");
    }
    return beacon;
};

type RestartCase = {
    readonly name: string;
    readonly rows: Beacon["weights"];
    /** Time that the beacon takes, and how long before its sending the peer received the echoed timestamp. */
    readonly transitMs: Millis;
    readonly echoHeldMs: Millis;
    readonly isUsable: boolean;
};

// A restarted VM uses engines on weights replaced long ago, or refuses callers because a target just set seems old.
const restartCases: readonly RestartCase[] = [
    { name: "no beacon yet", rows: [], transitMs: 0, echoHeldMs: 0, isUsable: true },
    { name: "set long ago", rows: [[MODEL, 3, 40_000]], transitMs: 5, echoHeldMs: 100, isUsable: false },
    { name: "set a second ago", rows: [[MODEL, 3, 1_000]], transitMs: 5, echoHeldMs: 100, isUsable: true },
    {
        name: "set a second before a beacon that was delayed, and echoes an old timestamp",
        rows: [[MODEL, 3, 1_000]],
        transitMs: 4_000,
        echoHeldMs: 30_000,
        isUsable: true,
    },
    {
        name: "the newest set a second ago, the one before it long ago",
        rows: [[MODEL, 3, 1_000], [MODEL, 2, 40_000]],
        transitMs: 5,
        echoHeldMs: 100,
        isUsable: false,
    },
    {
        name: "two set within the last seconds",
        rows: [[MODEL, 3, 500], [MODEL, 2, 1_000]],
        transitMs: 5,
        echoHeldMs: 100,
        isUsable: true,
    },
    { name: "a peer that states no age", rows: [[MODEL, 3]], transitMs: 5, echoHeldMs: 100, isUsable: true },
];

restartCases.forEach(({ name, rows, transitMs, echoHeldMs, isUsable }) => {
    test(`target age: an engine on weights of version 1 after a restart of the VM: ${name}`, async t => {
        const time = { now: START };
        const clock = { now: () => time.now, epoch: () => time.now };
        const declarations = await startTargetDeclarations(clock, MODEL, 3);
        t.teardown(declarations.stop);
        time.now += transitMs;
        const { incarnation, failureDomain } = emptyBeacon;
        const receivedAt = time.now;
        const sentAfter = receivedAt - transitMs - echoHeldMs;
        declarations.applyBeacon({
            incarnation,
            failureDomain,
            receivedAt,
            beacon: sendRows(rows),
            sentAfter,
            stampedAt: sentAfter,
            startedBefore: 0,
        }, "10.0.0.9:1");
        const endpointTable = createEndpointTable({
            clock,
            failureDomain: "fd" as FailureDomain,
            declaredState: declarations.current,
            peerLoadAt: () => ({ running: 0, waitingTokens: 0, memoryTokens: 0 }),
            domainSilentMs: () => 0,
            outdatedLimitMs: () => SERVES_FOR_MS,
            onChange: () => undefined,
            onGone: () => undefined,
        });
        const entry = entryOf("e", { versions: new Map([[MODEL, 1]]) });
        endpointTable.applyRegistryEvent({ kind: "whole", entries: [entry] });
        const candidates = endpointTable.candidates({
            service: entry.service,
            model: MODEL,
            promptAt: () => ({ missingTokens: 0, fetchedTokens: 0, source: undefined }),
            select: undefined,
            avoid: new Set(),
        });
        t.is(candidates.length, isUsable ? 1 : 0);
    });
});

type Learned = readonly [at: Millis, version: number, knownSince?: Millis];

// The age of the newest target stands for that of the first one after an engine's weights.
const learnedCases: readonly {
    readonly name: string;
    readonly learned: readonly Learned[];
    readonly since: Millis | undefined;
}[] = [
    { name: "a peer has known it for longer", learned: [[900, 2], [950, 2, 100]], since: 100 },
    { name: "a peer has known it for less long", learned: [[100, 2], [950, 2, 900]], since: 100 },
    { name: "an earlier target that a peer knows", learned: [[900, 3], [950, 3, 800], [950, 2, 100]], since: 100 },
    { name: "an earlier target of unknown age", learned: [[900, 3], [950, 3, 100], [950, 2]], since: 100 },
    { name: "a time that is still to come", learned: [[900, 2, 5_000]], since: 900 },
    { name: "no newer target", learned: [[900, 1, 100]], since: undefined },
    {
        name: "more targets than are remembered",
        learned: Array.from({ length: 12 }, (_, i) => [100 * (i + 1), i + 2] as const),
        since: 500,
    },
];

learnedCases.forEach(({ name, learned, since }) => {
    test(`target age: since when weights of version 1 are replaced: ${name}`, t => {
        const state = learned.reduce(
            (before, [at, version, knownSince]) =>
                stepDeclaredState(before, { kind: "weights", model: MODEL, version, knownSince }, at),
            initialDeclaredState,
        );
        t.is(outdatedSince(state, MODEL, 1), since);
    });
});

// Ages that are rounded up grow with each exchange; beacons grow with targets that no engine can be behind.
const rowCases: readonly {
    readonly name: string;
    readonly set: readonly (readonly [version: number, at: Millis])[];
    readonly ages: readonly (readonly [version: number, ageMs: Millis])[];
}[] = [
    { name: "whole milliseconds, rounded down", set: [[2, 99_000.25]], ages: [[2, 999]] },
    { name: "none before a target that was set long ago", set: [[2, 100], [3, 40_000]], ages: [[3, 60_000]] },
    {
        name: "those before a recent one, up to the first that was set long ago",
        set: [[2, 100], [3, 30_000], [4, 90_000], [5, 99_000]],
        ages: [[5, 1_000], [4, 10_000], [3, 70_000]],
    },
];

rowCases.forEach(({ name, set, ages }) => {
    test(`target age: the rows of a beacon: ${name}`, t => {
        const { weights } = set.reduce(
            (state, [version, at]) => stepDeclaredState(state, { kind: "weights", model: MODEL, version }, at),
            initialDeclaredState,
        );
        t.deepEqual(targetRowsOf(weights, 100_000), ages.map(([version, ageMs]) => [MODEL, version, ageMs]));
    });
});

/** A VM whose monotonic clock stands still while it is suspended. */
type SimulatedVm = { state: DeclaredState; clockBehindMs: Millis; suspendedUntil: Millis; };

const VMS = 5;
const ROUND_MS = 200;
const CALM_AT = 30_000;
const END_AT = 40_000;
const MAX_CALM_DELAY_MS = 20;

/**
 * VMs that exchange ages for 40 s, with restarts, suspensions, losses and delays of up to 4 s in the first 30 s.
 *
 * @returns by VM and target, the true age and the one that the VM knows, at each round
 */
const simulateAges = (seed: number) => {
    const random = seededRandom(seed * 7_919);
    const setAt = [2_000, 9_000, 11_000, 25_000];
    const vms: SimulatedVm[] = Array.from({ length: VMS }, () => ({
        state: initialDeclaredState,
        clockBehindMs: 0,
        suspendedUntil: 0,
    }));
    const inTransit: { readonly to: number; readonly at: Millis; readonly rows: Beacon["weights"]; }[] = [];
    const learn = (vm: SimulatedVm, now: Millis, version: number, ageMs?: Millis): void => {
        const own = now - vm.clockBehindMs;
        const knownSince = ageMs === undefined ? undefined : own - ageMs;
        vm.state = stepDeclaredState(vm.state, { kind: "weights", model: MODEL, version, knownSince }, own);
    };
    const rounds = Array.from({ length: END_AT / ROUND_MS }, (_, i) => i * ROUND_MS);
    return rounds.flatMap(now => {
        const isCalm = now >= CALM_AT;
        const awake = vms.filter(vm => vm.suspendedUntil <= now);
        const newest = setAt.filter(at => at <= now).length;
        awake.forEach(vm => {
            if (!isCalm && random() < 0.01) {
                vm.state = initialDeclaredState;
            }
            if (!isCalm && random() < 0.01) {
                const ms = Math.floor(random() * 4_000);
                vm.suspendedUntil = now + ms;
                vm.clockBehindMs += ms;
            }
            if (newest > 0 && random() < 0.5) {
                learn(vm, now, newest + 1);
            }
        });
        vms.forEach((vm, i) => {
            const due = inTransit.filter(({ to, at }) => to === i && at <= now && vm.suspendedUntil <= now);
            due.forEach(beacon => {
                inTransit.splice(inTransit.indexOf(beacon), 1);
                beacon.rows.forEach(([, version, ageMs]) => learn(vm, now, version, ageMs));
            });
        });
        awake.filter(vm => vm.suspendedUntil <= now).forEach(vm => {
            const rows = targetRowsOf(vm.state.weights, now - vm.clockBehindMs);
            vms.forEach((_, to) => {
                const delayMs = random() * (isCalm ? MAX_CALM_DELAY_MS : 4_000);
                if (isCalm || random() < 0.7) {
                    inTransit.push({ to, at: now + delayMs, rows });
                }
            });
        });
        return vms.filter(vm => vm.suspendedUntil <= now).flatMap((vm, i) =>
            (vm.state.weights.get(MODEL) ?? []).map(({ version, knownSince }) => ({
                now,
                vm: i,
                version,
                trueAgeMs: now - (setAt[version - 2] ?? 0),
                ageMs: now - vm.clockBehindMs - knownSince,
            }))
        );
    });
};

const SEEDS = Array.from({ length: 50 }, (_, i) => i + 1);

// Ages that VMs tell each other grow with each exchange, and engines on weights just replaced get no requests.
test("target age: VMs that exchange ages never take a target for older than it is", t => {
    const tooOld = SEEDS.flatMap(seed =>
        simulateAges(seed).filter(({ ageMs, trueAgeMs }) => ageMs > trueAgeMs).map(seen => ({ seed, ...seen }))
    );
    t.deepEqual(tooOld.slice(0, 3), []);
});

// A VM that was suspended, cut off or restarted keeps an age that is too low.
test("target age: all VMs know the age that one of them knows once they hear from each other", t => {
    const spreads = SEEDS.flatMap(seed => {
        const atEnd = simulateAges(seed).filter(({ now, version }) => now === END_AT - ROUND_MS && version === 5);
        const ages = atEnd.map(({ ageMs }) => ageMs);
        t.is(ages.length, VMS);
        return [Math.max(...ages) - Math.min(...ages)];
    });
    // A round passes until a beacon that is in transit is applied, and ages are whole milliseconds.
    const maxSpreadMs = ROUND_MS + MAX_CALM_DELAY_MS + 1;
    t.deepEqual(spreads.filter(ms => ms > maxSpreadMs), []);
});
