import test from "ava";

import { crashLimits } from "../../crashLimits.js";
import { createSuspects } from "../../createSuspects.js";
import type { SuspectKey } from "../../SuspectKey.js";

type Parts = Parameters<typeof createSuspects>[0];

const part = "1a2b3c" as SuspectKey;
const root = "4d5e6f" as SuspectKey;
const begun = [{ key: root, stage: "begun" as const }, { key: part, stage: "begun" as const }];

const start = (more: Partial<Parts> = {}) => {
    const time = { now: 10_000 };
    const counts = { urgent: 0 };
    const suspects = createSuspects({
        clock: { now: () => time.now, epoch: () => time.now },
        isRelay: () => true,
        isProber: () => false,
        onUrgent: () => {
            counts.urgent += 1;
        },
        onQuarantined: () => undefined,
        onReleased: () => undefined,
        ...more,
    });
    return { ...suspects, time, counts };
};
const quarantinePart = ({ recordDeath }: ReturnType<typeof start>): void =>
    ["a", "b", "c"].forEach(death => recordDeath(death, [{ key: part, stage: "begun" }]));

// Guards against refusing everybody's requests because of the part that all prompts begin with.
test("suspects: a part that this VM has seen answered lately is not accused", t => {
    const vm = start();
    vm.recordAnswered([root]);
    ["a", "b", "c"].forEach(death => vm.recordDeath(death, begun));
    t.false(vm.admit([part]));
    t.true(vm.admit([root]));
    t.deepEqual(new Set(vm.rows().suspectParts.map(([key]) => key)), new Set([part]));
});

// A VM that has just started has seen no answer, and would accuse what all others know to be sound.
test("suspects: an answer that another VM remembers clears a part", t => {
    const [started, other] = [start(), start()];
    other.recordAnswered([root]);
    [started, other].forEach(({ time }) => {
        time.now += 2_000;
    });
    ["a", "b", "c"].forEach(death => started.recordDeath(death, begun));
    t.false(started.admit([root]));
    other.receive(started.rows());
    t.deepEqual(other.rows().answeredParts.map(([key]) => key), [root]);
    t.true(other.admit([root]));
    t.false(other.admit([part]));
    started.receive(other.rows());
    t.true(started.admit([root]));
    t.is(started.deathsOf([root]), 1, "the deaths are one moment");
});

// A verdict that only time ends keeps a sound part refused, and one that every VM repeats is never lifted.
test("suspects: an answer after the verdict lifts it, although others still state it", t => {
    const [vm, other] = [start(), start()];
    quarantinePart(vm);
    quarantinePart(other);
    vm.time.now += 1_000;
    other.time.now += 1_000;
    vm.recordAnswered([part]);
    t.true(vm.admit([part]));
    vm.receive({ ...other.rows(), deaths: [], suspectParts: [] });
    t.true(vm.admit([part]));
    other.receive(vm.rows());
    t.true(other.admit([part]));
});

// Guards against a cleared part being told of by all VMs with each further answer.
test("suspects: answers that change nothing are not sent", t => {
    const vm = start();
    vm.recordDeath("a", [{ key: part, stage: "unsettled" }]);
    vm.time.now += 500;
    vm.recordAnswered([part]);
    const { urgent } = vm.counts;
    vm.time.now += 2_000;
    vm.recordAnswered([part]);
    t.is(vm.counts.urgent, urgent);
    t.is(vm.rows().answeredParts.length, 0);
});

// Guards against VMs that send each other deaths of one suspect without end, as each forgets what the other sends.
test("suspects: a suspect at more deaths than are remembered is not sent on", t => {
    const [vm, other] = [start(), start()];
    const deaths = Array.from({ length: 2 * crashLimits.deathsOfOne }, (_, i) => `death-${i}`);
    deaths.forEach(death => vm.recordDeath(death, [{ key: part, stage: "begun" }]));
    deaths.toReversed().forEach(death => other.recordDeath(death, [{ key: part, stage: "begun" }]));
    const { urgent } = vm.counts;
    vm.receive(other.rows());
    t.is(vm.counts.urgent, urgent);
});

// Probes of all VMs at once would crash as many engines as there are VMs.
test("suspects: only the prober lets a request through, once in a while, and a death starts the time anew", t => {
    const [prober, other] = [start({ isProber: () => true }), start()];
    [prober, other].forEach(quarantinePart);
    const pass = (ms: number): void => {
        prober.time.now += ms;
        other.time.now += ms;
    };
    pass(crashLimits.probeAfterMs);
    t.false(prober.admit([part]), "too early");
    pass(1);
    t.false(prober.isRefused([part]));
    t.true(prober.admit([part]));
    t.false(prober.admit([part]), "one at a time");
    t.false(other.admit([part]));
    prober.recordDeath("d", [{ key: part, stage: "begun" }]);
    pass(crashLimits.probeGapMs);
    t.false(prober.admit([part]), "after a death");
});

// Guards against memory that grows with the parts that callers invent.
test("suspects: what is remembered and sent is bounded", t => {
    const vm = start();
    const keys = Array.from({ length: 3 * crashLimits.suspects }, (_, i) => (i + 1).toString(36) as SuspectKey);
    vm.recordDeath("a", keys.map(key => ({ key, stage: "unsettled" as const })));
    t.true(vm.rows().suspectParts.length <= crashLimits.rows);
    vm.recordAnswered(keys);
    t.true(vm.rows().answeredParts.length <= crashLimits.rows);
});
