import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { createMembership } from "../../peers/createMembership.js";
import { emptyBeacon } from "../support/emptyBeacon.js";

const GONE_MS = 8_000;
const CACHED_MS = 100;

// Shares of limits are divided by this number; one that is kept for too long lets all VMs together exceed them.
test("VM count: a new VM counts at once, and one that is gone no longer counts after 0.1 s", t => {
    const time = { now: 60_000 };
    const membership = createMembership({ now: () => time.now, epoch: () => time.now }, {
        vm: "vm-1" as VmId,
        incarnation: "own" as Incarnation,
        failureDomain: "fd" as FailureDomain,
        capacity: 1,
        seeds: [],
    });
    const receive = (vm: string, isLeaving = false): void => {
        membership.applyBeacon({ ...emptyBeacon, vm: vm as VmId, isLeaving }, `10.0.0.${vm}:1`);
    };
    const counts = [membership.vms()];
    receive("2");
    counts.push(membership.vms());
    receive("3");
    counts.push(membership.vms());
    receive("3", true);
    counts.push(membership.vms());
    time.now += GONE_MS - 1;
    counts.push(membership.vms());
    time.now += CACHED_MS;
    counts.push(membership.vms());
    t.deepEqual(counts, [1, 2, 3, 2, 2, 1]);
});
