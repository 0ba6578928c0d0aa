import type { FailureDomain, VmId } from "@azureshunt/core";
import test from "ava";

import { orderPeers } from "../../orderPeers.js";

const peers = [["far-1", "b"], ["near-1", "a"], ["far-2", "c"], ["near-2", "a"]].map(([vm, failureDomain]) => ({
    vm: vm as VmId,
    address: `${vm}:1`,
    failureDomain: failureDomain as FailureDomain,
}));

const cases: readonly { readonly name: string; readonly avoided: readonly string[]; readonly order: RegExp; }[] = [
    { name: "those of the own failure domain come first", avoided: [], order: /^near-. near-. far-. far-.$/ },
    { name: "one that could not open connections is not asked", avoided: ["near-1"], order: /^near-2 far-. far-.$/ },
    {
        name: "other domains are asked if none is left in the own",
        avoided: ["near-1", "near-2"],
        order: /^far-. far-.$/,
    },
    { name: "none is asked if all are avoided", avoided: peers.map(({ vm }) => vm), order: /^$/ },
];

cases.forEach(({ name, avoided, order }) => {
    test(`peers asked for a connection: ${name}`, t => {
        [0, 0.3, 0.999].forEach(value => {
            const avoidedUntil = new Map(avoided.map(vm => [vm as VmId, 2] as const));
            const query = { peers, failureDomain: "a" as FailureDomain, avoidedUntil };
            t.regex(orderPeers(query, 1, () => value).map(({ vm }) => vm).join(" "), order);
            t.is(orderPeers(query, 2, () => value).length, peers.length);
        });
    });
});
