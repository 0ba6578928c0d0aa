import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { leaseRank } from "../../fleet/leaseRank.js";
import type { Members } from "../../peers/Members.js";

// The one VM that reads the store dies with the order lease, and all others claim it at the same moment.

const vms = ["a1", "a2", "a3", "b1", "b2", "b3"] as const;

/** What one of the VMs knows: two relays in each of two failure domains, `a3` and `b3` are none. */
const membersOf = (self: string, reader: string, dead: string | undefined): Members => ({
    vm: self as VmId,
    incarnation: "run" as Incarnation,
    failureDomain: self.slice(0, 1) as FailureDomain,
    capacity: self.endsWith("3") ? 0 : 1,
    domainSummaries: new Map(),
    fleetSummary: undefined,
    startedAt: 0,
    isListed: true,
    seeds: [],
    known: new Map(
        vms.filter(vm => vm !== self).map(vm => [
            vm as string as VmId,
            {
                vm: vm as string as VmId,
                address: "10.0.0.1:1",
                failureDomain: vm.slice(0, 1) as FailureDomain,
                capacity: vm.endsWith("3") ? 0 : 1,
                hasStore: vm === reader,
                lastSeenAt: vm === dead ? 0 : 10_000,
                lastReceived: undefined,
            },
        ]),
    ),
});

const cases = [
    { name: "nobody held it", lastHolder: undefined, dead: undefined, ranks: { a1: 0, a2: 1, b1: 2, b2: 3, b3: 4 } },
    { name: "the reader holds it", lastHolder: "a1", dead: undefined, ranks: { a1: 0, a2: 1, b1: 2, b2: 3, b3: 4 } },
    { name: "another holds it", lastHolder: "b1", dead: undefined, ranks: { b1: 0, a1: 1, a2: 2, b2: 3, b3: 4 } },
    { name: "the reader died with it", lastHolder: "a1", dead: "a1", ranks: { a2: 1, a3: 2, b1: 3, b2: 4, b3: 5 } },
] as const;
cases.forEach(({ name, lastHolder, dead, ranks }) => {
    test(`lease rank: ${name}`, t => {
        const seen = Object.keys(ranks).map(vm =>
            [vm, leaseRank(membersOf(vm, "a1", dead), lastHolder as VmId | undefined, vm === "a1", 10_000)] as const
        );
        t.deepEqual(Object.fromEntries(seen), { ...ranks });
    });
});
