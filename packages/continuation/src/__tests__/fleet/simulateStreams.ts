import { EndpointName, OrganisationId, RequestId, ServiceName, VmId } from "@azureshunt/core";
import type { Millis } from "@azureshunt/core";
import { seededRandom } from "@azureshunt/testing";

import type { createStreamKeeper } from "../../createStreamKeeper.js";
import { mayContinueAt } from "../../mayContinueAt.js";
import type { RegisteredRun } from "../../RegisteredRun.js";
import { createRegistryLog } from "./createRegistryLog.js";
import { createSimulatedVm } from "./createSimulatedVm.js";
import { createVirtualTime } from "./createVirtualTime.js";
import type { SimulatedVm } from "./SimulatedVm.js";

type KeeperParts = Parameters<typeof createStreamKeeper>[0];

type SimulationOptions = {
    readonly seed: number;
    readonly vms: number;
    readonly domains: number;
    readonly lengthMs: Millis;
    /** Mean time between releases, most of them of a new version. */
    readonly releaseEveryMs: Millis;
    /** Replaces parts of each keeper, to remove a guard. */
    readonly override?: Partial<KeeperParts>;
};

/** What became of the streams that callers took up. */
type SimulationOutcome = {
    /** Streams that went on at another version than the one that began them. */
    readonly joined: readonly string[];
    /** Those taken up at VMs in touch, while two endpoints of their version were registered. */
    readonly resumedInTouch: number;
    readonly continuedInTouch: number;
    readonly resumed: number;
    readonly continued: number;
};

const LM = ServiceName.parse("lm");
const ORGANISATION = OrganisationId.parse("org");
const STABLE_MS: Millis = 3_000;
const DEADLINE_MS: Millis = 15_000;
const STREAM_EVERY_MS: Millis = 25;
const DISTURB_EVERY_MS: Millis = 1_500;
const STEP_MS: Millis = 400;
const FIRST_ENDPOINTS = 6;

/** Runs callers, releases and disturbances against the keepers of a fleet in virtual time. */
export async function simulateStreams(options: SimulationOptions): Promise<SimulationOutcome> {
    const time = createVirtualTime();
    const random = seededRandom(options.seed);
    const registry = createRegistryLog();
    const vms: SimulatedVm[] = [];
    const fleet = { time, random, registry, vms: () => vms, override: options.override ?? {} };
    vms.push(
        ...Array.from(
            { length: options.vms },
            (_, i) => createSimulatedVm(fleet, VmId.parse(`vm-${i}`), `d${i % options.domains}`),
        ),
    );
    const counts = {
        endpoints: 0,
        streams: 0,
        version: 0,
        resumedInTouch: 0,
        continuedInTouch: 0,
        resumed: 0,
        continued: 0,
    };
    const joined: string[] = [];

    const addEndpoint = (version: number): void => {
        counts.endpoints += 1;
        registry.register({
            name: EndpointName.parse(`e${counts.endpoints}`),
            service: LM,
            softwareVersion: `v${version}`,
            bornAt: time.clock.now(),
        });
    };
    const removeEndpoint = (run: RegisteredRun | undefined): void => {
        if (run !== undefined && registry.current().length > 2) {
            registry.remove(run.name);
        }
    };
    /** Endpoints of a new version replace some or all of the others, one after the other. */
    const release = (): void => {
        counts.version += random.chance(0.7) ? 1 : 0;
        const replaced = registry.current().filter(() => random.chance(0.6));
        const { version } = counts;
        replaced.forEach((run, i) => {
            time.schedule(i * STEP_MS, () => addEndpoint(version));
            time.schedule((i + 1) * STEP_MS, () => removeEndpoint(run));
        });
    };
    const disturb = (): void => {
        const up = vms.filter(each => each.keeper() !== undefined);
        const victims = random.chance(0.05) ? up : [random.pick(up), random.chance(0.3) ? random.pick(up) : undefined];
        const links = random.pick(["store", "peers", "all"] as const);
        const isKill = random.chance(0.5);
        victims.forEach(victim => {
            if (victim === undefined) {
                return;
            }
            if (isKill) {
                victim.kill();
                time.schedule(
                    random.between(300, 1_500),
                    () => victim.keeper() === undefined ? victim.start() : undefined,
                );
                return;
            }
            victim.cut(links ?? "all");
            time.schedule(random.between(500, 5_000), victim.heal);
        });
    };
    const readyVm = (domain?: SimulatedVm["failureDomain"]): SimulatedVm | undefined => {
        const ready = vms.filter(each => each.isReady());
        const near = ready.filter(each => each.failureDomain === domain);
        return random.pick(near.length > 0 ? near : ready);
    };

    const takeUp = async (version: string, begunBy: RequestId, domain: SimulatedVm["failureDomain"], left: number) => {
        const vm = readyVm(domain);
        const keeper = vm?.keeper();
        if (vm === undefined || keeper === undefined) {
            return;
        }
        const serving = registry.current().filter(({ softwareVersion }) => softwareVersion === version).length;
        const isCounted = vm.isInTouch(STABLE_MS) && serving >= 2;
        const { continuation } = await keeper.resolve({
            organisation: ORGANISATION,
            begunBy,
            service: LM,
            isTarget: () => true,
        });
        const place = continuation.kind === "continue"
            ? random.pick(vm.view().filter(run => mayContinueAt(continuation.origin, run)))
            : undefined;
        counts.resumed += 1;
        counts.continued += place === undefined ? 0 : 1;
        counts.resumedInTouch += isCounted ? 1 : 0;
        counts.continuedInTouch += isCounted && place !== undefined ? 1 : 0;
        if (place !== undefined && place.softwareVersion !== version) {
            joined.push(`${begunBy} of ${version} at ${place.softwareVersion}, ${vm.vm}, ${time.clock.now()}`);
        }
        if (place !== undefined && left > 0) {
            time.schedule(random.between(5, 2_000), () => void takeUp(version, begunBy, domain, left - 1));
        }
    };
    const isUp = ({ name }: RegisteredRun): boolean => registry.current().some(each => each.name === name);
    const begin = (): void => {
        const vm = readyVm();
        const keeper = vm?.keeper();
        if (vm === undefined || keeper === undefined) {
            return;
        }
        const run = random.pick(keeper.selectForNew(LM, vm.view(), isUp).filter(isUp));
        if (run === undefined || run.softwareVersion === undefined) {
            return;
        }
        counts.streams += 1;
        const { name, bornAt, softwareVersion } = run;
        const id = RequestId.parse(`r${counts.streams}`);
        const first = { name, bornAt, eventAt: time.clock.epoch() };
        keeper.recordFirst(ORGANISATION, id, { service: LM, softwareVersion, first }, DEADLINE_MS);
        // Most callers come back at once, some after a while.
        const breaksAfterMs = random.chance(0.5) ? random.between(10, 100) : random.between(100, 6_000);
        time.schedule(
            breaksAfterMs,
            () => void takeUp(softwareVersion, id, vm.failureDomain, random.chance(0.3) ? 1 : 0),
        );
    };
    const repeat = (everyMs: Millis, run: () => void): void => {
        const repeated = (): void => {
            run();
            time.schedule(random.between(0, 2 * everyMs), repeated);
        };
        time.schedule(everyMs, repeated);
    };
    Array.from({ length: FIRST_ENDPOINTS }, () => addEndpoint(0));
    vms.forEach(vm => vm.start());
    repeat(STREAM_EVERY_MS, begin);
    repeat(DISTURB_EVERY_MS, disturb);
    repeat(options.releaseEveryMs, release);
    await time.runUntil(options.lengthMs);
    const { resumed, continued, resumedInTouch, continuedInTouch } = counts;
    return { joined, resumed, continued, resumedInTouch, continuedInTouch };
}
