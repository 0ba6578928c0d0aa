import { ServiceName } from "@azureshunt/core";
import type { FailureDomain, Peer, VmId } from "@azureshunt/core";
import test from "ava";

import { choosePeer } from "../../choosePeer.js";
import { initialPeerHistory } from "../../initialPeerHistory.js";
import type { PeerAttempt } from "../../PeerAttempt.js";
import type { PeerEvent } from "../../PeerEvent.js";
import { stepPeerHistory } from "../../stepPeerHistory.js";

const service = ServiceName.parse("lm");

/** Returns the peer with a name as in `"b2"`, of failure domain `b`. */
const peerOf = (vm: string): Peer => ({
    vm: vm as VmId,
    address: `${vm}:1`,
    failureDomain: vm.slice(0, 1) as FailureDomain,
});
const attemptsOf = (text: string): readonly PeerAttempt[] =>
    text.split(" ").filter(Boolean).map(each => {
        const [vm = "", outcome] = each.split("=");
        return { peer: peerOf(vm), outcome: outcome as PeerAttempt["outcome"] };
    });

const failed = (...vms: readonly string[]): readonly PeerEvent[] =>
    vms.map(vm => ({ kind: "failed", service, peer: peerOf(vm) }));
const opened = (vm: string, others = ""): PeerEvent => ({
    kind: "opened",
    service,
    peer: peerOf(vm),
    others: attemptsOf(others),
});

type Case = {
    readonly name: string;
    readonly peers: string;
    readonly events?: readonly PeerEvent[];
    /** Time in milliseconds of the choice, after that of the events, 0. */
    readonly at?: number;
    readonly attempts?: string;
    readonly expected: RegExp;
};

const cases: readonly Case[] = [
    { name: "the own failure domain comes first", peers: "b1 a1 c1 a2", expected: /^a[12]$/ },
    {
        name: "other domains are asked if no peer is left in the own",
        peers: "b1 a1 c1",
        attempts: "a1=peer",
        expected: /^[bc]1$/,
    },
    {
        name: "a second peer of the own domain is asked if the first says that it cannot help",
        peers: "b1 a1 a2",
        attempts: "a1=peer",
        expected: /^a2$/,
    },
    {
        name: "another domain has its turn after two of the own that cannot help",
        peers: "b1 a1 a2 a3",
        attempts: "a1=peer a2=peer",
        expected: /^b1$/,
    },
    {
        name: "another domain has its turn after one of the own that is late",
        peers: "b1 a1 a2",
        attempts: "a1=late",
        expected: /^b1$/,
    },
    {
        name: "another domain has its turn after one of the own that found the endpoint silent",
        peers: "b1 a1 a2",
        attempts: "a1=endpoint-silent",
        expected: /^b1$/,
    },
    {
        name: "a third domain has its turn before the second one has another",
        peers: "b1 b2 c1 a1 a2",
        attempts: "a1=late b1=late",
        expected: /^c1$/,
    },
    {
        name: "the own domain has another turn after the others",
        peers: "b1 c1 a1 a2",
        attempts: "a1=late b1=late c1=late",
        expected: /^a2$/,
    },
    {
        name: "one that could not help is not asked before the others for a while",
        peers: "a1 a2",
        events: failed("a1"),
        at: 1_999,
        expected: /^a2$/,
    },
    { name: "one that could not help is asked again", peers: "a1", events: failed("a1"), at: 2_000, expected: /^a1$/ },
    {
        name: "those that could not help lately are asked if there are no others",
        peers: "a1 b1",
        events: failed("a1", "b1"),
        expected: /^a1$/,
    },
    {
        name: "those that could not help lately come after all others",
        peers: "a1 a2 b1 c1",
        events: failed("a1", "b1"),
        attempts: "a2=peer c1=peer",
        expected: /^a1$/,
    },
    {
        name: "those that could not help lately do not prolong a search that found the endpoint refuse",
        peers: "a1 a2 b1",
        events: failed("b1"),
        attempts: "a1=endpoint-refused a2=endpoint-refused",
        expected: /^none$/,
    },
    {
        name: "one that was avoided counts again once it opens a connection",
        peers: "a1",
        events: [...failed("a1"), opened("a1")],
        expected: /^a1$/,
    },
    {
        name: "the own domain comes last once another one has outdone it",
        peers: "a1 a2 b1",
        events: [opened("b2", "a1=peer a2=peer")],
        at: 999,
        expected: /^b1$/,
    },
    {
        name: "the own domain is asked first again after a while",
        peers: "a1 a2 b1",
        events: [opened("b2", "a1=peer a2=peer")],
        at: 1_000,
        expected: /^a[12]$/,
    },
    {
        name: "the own domain comes first again once it opens a connection",
        peers: "a1 a2 b1",
        events: [opened("b2", "a1=peer"), opened("a2", "b1=late")],
        expected: /^a[12]$/,
    },
    {
        name: "a peer that is still asked does not speak against its domain",
        peers: "a1 a2 b1",
        events: [opened("b2", "a1=pending")],
        expected: /^a[12]$/,
    },
    {
        name: "one that was outrun for longer than its head start is not asked before the others for a while",
        peers: "a1 a2",
        events: [opened("a2", "a1=late")],
        expected: /^a2$/,
    },
    {
        name: "one that opened a connection goes first while others of its domain are cut off",
        peers: "a1 a2 a3",
        events: [...failed("a1"), opened("a3")],
        expected: /^a3$/,
    },
    {
        name: "no further one is asked if each domain saw the endpoint refuse",
        peers: "a1 a2 b1 b2",
        attempts: "a1=endpoint-refused b1=endpoint-silent",
        expected: /^none$/,
    },
    {
        name: "one of a domain that has not seen the endpoint fail is asked",
        peers: "a1 a2 b1 c1",
        attempts: "a1=endpoint-refused b1=endpoint-refused",
        expected: /^c1$/,
    },
    {
        name: "two that saw the endpoint fail are enough in a single domain",
        peers: "a1 a2 a3",
        attempts: "a1=endpoint-refused a2=endpoint-refused",
        expected: /^none$/,
    },
    {
        name: "one that saw the endpoint fail is not enough in a single domain",
        peers: "a1 a2 a3",
        attempts: "a1=endpoint-refused",
        expected: /^a[23]$/,
    },
    {
        name: "a limited number is asked",
        peers: "a1 a2 a3 a4 a5 a6 a7 a8 a9 b1 b2",
        attempts: "a1=peer a2=peer a3=peer a4=peer a5=peer a6=peer a7=peer a8=peer a9=peer b1=peer",
        expected: /^none$/,
    },
    {
        name: "fewer are asked while none can help",
        peers: "a1 a2 a3 a4",
        events: failed(...Array.from({ length: 48 }, (_, i) => `b${i}`)),
        attempts: "a1=peer a2=peer a3=peer",
        expected: /^none$/,
    },
    {
        name: "more are asked again once one can help",
        peers: "a1 a2 a3 a4",
        events: [...failed(...Array.from({ length: 48 }, (_, i) => `b${i}`)), opened("a1")],
        attempts: "a1=peer a2=peer a3=peer",
        expected: /^a4$/,
    },
    {
        name: "a VM that was named is asked",
        peers: "b1",
        events: [{ kind: "named", peers: [peerOf("b2")] }],
        at: 9_999,
        attempts: "b1=peer",
        expected: /^b2$/,
    },
    {
        name: "a VM that was named long ago is not asked",
        peers: "b1",
        events: [{ kind: "named", peers: [peerOf("b2")] }],
        at: 10_000,
        attempts: "b1=peer",
        expected: /^none$/,
    },
];

cases.forEach(({ name, peers, events = [], at = 0, attempts = "", expected }) => {
    test(`peer asked for a connection: ${name}`, t => {
        const history = events.reduce((before, event) => stepPeerHistory(before, event, 0), initialPeerHistory);
        [0, 0.3, 0.7].forEach(value => {
            const query = {
                peers: peers.split(" ").map(peerOf),
                failureDomain: "a" as FailureDomain,
                history,
                service,
                attempts: attemptsOf(attempts),
            };
            t.regex(choosePeer(query, at, () => value)?.vm ?? "none", expected);
        });
    });
});
