import test from "ava";

import { judgeTunnelEnd } from "../../judgeTunnelEnd.js";
import type { TunnelEnd } from "../../TunnelEnd.js";
import type { TunnelEvent } from "../../TunnelEvent.js";

type Case = {
    readonly name: string;
    readonly events: readonly TunnelEvent[];
    readonly end: TunnelEnd;
    /** How the last event is passed on. */
    readonly passOn: "end" | "reset";
};

const ended = (side: "endpoint" | "vm", end: "closed" | "reset" | "failed", areAllSent = false): TunnelEvent => ({
    kind: "ended",
    side,
    end,
    areAllSent,
});
const givenUp = (reason: "idle" | "stopped", areAllSent = false): TunnelEvent => ({
    kind: "given-up",
    reason,
    areAllSent,
});
const endpointCloses = ended("endpoint", "closed");
const vmCloses = ended("vm", "closed");

const cases: readonly Case[] = [
    { name: "the endpoint closes", events: [endpointCloses], end: "endpoint-closed", passOn: "end" },
    { name: "the VM closes", events: [vmCloses], end: "vm-closed", passOn: "end" },
    { name: "the endpoint resets", events: [ended("endpoint", "reset")], end: "reset", passOn: "reset" },
    { name: "the endpoint's connection fails", events: [ended("endpoint", "failed")], end: "reset", passOn: "reset" },
    { name: "the VM resets", events: [ended("vm", "reset")], end: "reset", passOn: "reset" },
    { name: "the VM's connection fails", events: [ended("vm", "failed")], end: "reset", passOn: "reset" },
    { name: "it is idle for long", events: [givenUp("idle")], end: "idle", passOn: "reset" },
    { name: "the carrier stops", events: [givenUp("stopped")], end: "stopped", passOn: "reset" },
    {
        name: "the endpoint closes, then the VM",
        events: [endpointCloses, vmCloses],
        end: "endpoint-closed",
        passOn: "end",
    },
    { name: "the VM closes, then the endpoint", events: [vmCloses, endpointCloses], end: "vm-closed", passOn: "end" },
    {
        name: "the endpoint closes, and the VM is lost before it has all bytes",
        events: [endpointCloses, ended("vm", "failed")],
        end: "reset",
        passOn: "reset",
    },
    {
        name: "the endpoint closes, and the VM resets once it has all bytes",
        events: [endpointCloses, ended("vm", "reset", true)],
        end: "endpoint-closed",
        passOn: "reset",
    },
    {
        name: "the endpoint closes, and the carrier stops before all bytes are sent",
        events: [endpointCloses, givenUp("stopped")],
        end: "stopped",
        passOn: "reset",
    },
    {
        name: "the endpoint closes, and the carrier stops after all bytes are sent",
        events: [endpointCloses, givenUp("stopped", true)],
        end: "endpoint-closed",
        passOn: "reset",
    },
    {
        name: "the carrier stops, and the connections that it has reset end",
        events: [givenUp("stopped"), ended("endpoint", "failed"), ended("vm", "closed")],
        end: "stopped",
        passOn: "reset",
    },
    {
        name: "the endpoint resets as the VM closes",
        events: [ended("endpoint", "reset"), vmCloses],
        end: "reset",
        passOn: "reset",
    },
];

// A close that nobody has asked for must not reach the other side as the end of an answer.
cases.forEach(({ name, events, end, passOn }) => {
    test(`tunnel end: ${name}: ${end}, passed on as ${passOn}`, t => {
        const verdicts = events.reduce<readonly ReturnType<typeof judgeTunnelEnd>[]>(
            (done, event) => [...done, judgeTunnelEnd(done.at(-1)?.end, event)],
            [],
        );
        t.deepEqual(verdicts.at(-1), { end, passOn });
    });
});
