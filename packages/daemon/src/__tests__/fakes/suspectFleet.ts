import { DispatchId, EndpointName, Incarnation, VmId } from "@azureshunt/core";
import type { ExecutionContext } from "ava";

import type { Call } from "../../ports/Call.js";
import type { Placement } from "../../ports/Placement.js";
import type { SuspectPort } from "../../ports/SuspectPort.js";
import { createSuspectPort } from "../../suspects/createSuspectPort.js";
import { SUSPECT_TIMES } from "../../suspects/SUSPECT_TIMES.js";
import { deadEndpoint } from "./deadEndpoint.js";
import { fakeContext } from "./fakeContext.js";
import { FakePeers } from "./FakePeers.js";
import { modelCall } from "./modelCall.js";

/** Short times, so that a test of a VM that does not answer ends soon. */
const TIMES = {
    ...SUSPECT_TIMES,
    queryAgainMs: 20,
    sendAgainMs: 20,
    maxAcknowledgeWaitMs: 200,
    maxFirstDeathWaitMs: 50,
};

/** VMs that are peers of one another, with the suspect port of each. */
type SuspectFleet = {
    readonly peers: FakePeers;
    /** Starts a daemon, also on a VM that has one, as a restart. */
    readonly start: (vm: string) => void;
    readonly port: (vm: string) => SuspectPort;
    /** Creates a call with this prompt; each is a request of its own. */
    readonly call: (prompt: string) => Call;
    /** Creates a placement at an engine, whose process is gone unless `url` is given. */
    readonly place: (endpoint: string, url?: string) => Placement;
    /** Whether the VM knows of a death that is not explained yet. */
    readonly knowsDeath: (vm: string) => boolean;
    /** Whether the VM would run a call with this prompt. */
    readonly mayRun: (vm: string, prompt: string) => boolean;
};

const VMS = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];

/** Starts the suspect ports of five VMs. */
export async function suspectFleet(t: ExecutionContext): Promise<SuspectFleet> {
    const peers = new FakePeers();
    const nowhere = await deadEndpoint();
    const contexts = new Map(VMS.map(vm => [vm, fakeContext(vm, peers).ctx] as const));
    const ports = new Map([...contexts].map(([vm, ctx]) => [vm, createSuspectPort(ctx, TIMES)] as const));
    t.teardown(() => ports.forEach(port => port.stop()));
    const start = (vm: string): void => void ports.set(vm, createSuspectPort(fakeContext(vm, peers).ctx, TIMES));
    const counter = { calls: 0 };
    const call = (prompt: string): Call => modelCall(`request-${counter.calls++}`, { body: { prompt } });
    const place = (endpoint: string, url = nowhere): Placement => ({
        dispatchId: DispatchId.parse(`dispatch-${counter.calls++}`),
        endpoint: EndpointName.parse(endpoint),
        url,
        incarnation: Incarnation.parse(`run-of-${endpoint}`),
        estimate: 0,
        started: () => undefined,
        firstToken: () => undefined,
        end: () => undefined,
    });
    const port = (vm: string): SuspectPort => ports.get(VmId.parse(vm) as string)!;
    const knowsDeath = (vm: string): boolean =>
        /^azureshunt_unexplained_deaths [1-9]/m.test(contexts.get(vm)?.metrics.render() ?? "");
    return {
        start,
        peers,
        port,
        call,
        place,
        knowsDeath,
        mayRun: (vm, prompt) => port(vm).check(call(prompt)).isRight(),
    };
}
