import type { Millis, Tokens, VmId } from "@azureshunt/core";

import { createAllowances } from "../../allowance/createAllowances.js";
import type { Beacon } from "../../peers/Beacon.js";
import { organisationOf } from "./organisationOf.js";

type FleetParts = {
    readonly vms: number;
    readonly ratePerSecond: Tokens;
    readonly burst: Tokens;
    /** Tokens per second that the organisation requests at all VMs. */
    readonly demandAt: (now: Millis) => Tokens;
    readonly requestTokens: () => Tokens;
    /** Time between two beacons from one VM to another. */
    readonly beaconIntervalMs: Millis;
    readonly forMs: Millis;
    readonly random: () => number;
};

/** Tokens that one organisation requested and got in one step. */
type Granted = { readonly at: Millis; readonly asked: Tokens; readonly granted: Tokens; };

const STEP_MS = 10;
const MS_PER_SECOND = 1_000;
const FIRST_BEACONS_MS = 1_000;

/**
 * Runs the allowances of many VMs in virtual time. Each VM receives a beacon of every other one once per interval, at a
 * random phase.
 */
export function allowanceFleet(parts: FleetParts): readonly Granted[] {
    const { random, beaconIntervalMs } = parts;
    const time = { now: 0 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const organisation = organisationOf(parts.ratePerSecond, parts.burst);
    const vms = Array.from({ length: parts.vms }, (_, i) => {
        const liveness = () => ({ peers: parts.vms - 1, silent: [], propagationMs: beaconIntervalMs });
        return { vm: `vm-${i}` as VmId, allowances: createAllowances(clock, liveness, random) };
    });
    vms.forEach(({ allowances }) => allowances.open([organisation]));
    const phases = vms.map(() => vms.map(() => Math.floor(random() * beaconIntervalMs / STEP_MS) * STEP_MS));
    const debt = { tokens: 0 };
    return Array.from({ length: parts.forMs / STEP_MS }, (_, step) => {
        time.now = step * STEP_MS;
        vms.forEach(({ vm, allowances }, i) => {
            vms.forEach((other, j) => {
                if (i !== j && time.now % beaconIntervalMs === phases[i]?.[j]) {
                    const spent = allowances.spent();
                    const beacon = { vm, incarnation: "run-1", upMs: time.now, spent, relayedSpent: [] };
                    other.allowances.applyBeacon(beacon as unknown as Beacon, "relay");
                }
            });
        });
        debt.tokens += time.now < FIRST_BEACONS_MS ? 0 : parts.demandAt(time.now) * STEP_MS / MS_PER_SECOND;
        const seen = { asked: 0, granted: 0 };
        while (debt.tokens > 0) {
            const tokens = parts.requestTokens();
            const vm = vms[Math.floor(random() * vms.length)];
            debt.tokens -= tokens;
            seen.asked += tokens;
            vm?.allowances.recordDemand(organisation, tokens);
            seen.granted += vm?.allowances.spend(organisation, tokens).isRight() === true ? tokens : 0;
        }
        return { at: time.now, ...seen };
    });
}
