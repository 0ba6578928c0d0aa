import { VmId } from "@azureshunt/core";
import test from "ava";

import type { BeaconTarget } from "../../peers/BeaconTarget.js";
import { createBeaconPacer } from "../../peers/createBeaconPacer.js";
import { ringOrder } from "../../peers/ringOrder.js";
import { createVirtualTime } from "../support/createVirtualTime.js";

const INTERVAL_MS = 1_000;
/** A VM wakes once for beacons that arrive within this time. */
const AT_ONCE_MS = 5;

/** Returns when one VM receives beacons of the others, which all start at different times. */
const receivedBy = (vms: readonly VmId[], receiver: VmId, forMs: number): readonly number[] => {
    const { clock, schedule, runUntil } = createVirtualTime();
    const received: number[] = [];
    const targetsOf = (self: VmId): readonly BeaconTarget[] =>
        vms.filter(vm => vm !== self).map(vm => ({ vm, address: `${vm}:1`, scope: "vm" }));
    const start = (self: VmId) => (): void =>
        void createBeaconPacer<BeaconTarget>({
            clock,
            schedule,
            targets: () => ringOrder(self, targetsOf(self)),
            onRound: () => undefined,
            send: batch => batch.filter(({ vm }) => vm === receiver).forEach(() => received.push(clock.now())),
            intervalMs: () => INTERVAL_MS,
        });
    vms.forEach((vm, i) => schedule(i * 7, start(vm)));
    runUntil(forMs);
    return received;
};

// If each beacon woke a VM on its own, the processor time of idle VMs would grow with the square of their number.
[
    { name: "sixty-six VMs", count: 66, wakes: 9, most: 8 },
    { name: "a hundred and thirty VMs", count: 130, wakes: 17, most: 8 },
].forEach(({ name, count, wakes, most }) =>
    test(`beacons among ${name} arrive several at a time, and never all at once`, t => {
        const vms = Array.from({ length: count }, (_, i) => VmId.parse(`vm-${String(i).padStart(3, "0")}`));
        const received = receivedBy(vms, vms[17]!, 10 * INTERVAL_MS).filter(at =>
            at >= 5 * INTERVAL_MS && at < 6 * INTERVAL_MS - AT_ONCE_MS
        );
        const moments = [...new Set(received.map(at => Math.round(at / AT_ONCE_MS)))];
        t.true(moments.length <= wakes, `${moments.length} moments`);
        t.is(received.length, count - 1);
        const largest = Math.max(
            ...moments.map(moment => received.filter(at => Math.round(at / AT_ONCE_MS) === moment).length),
        );
        t.true(largest <= most, `${largest} at one moment`);
    })
);
