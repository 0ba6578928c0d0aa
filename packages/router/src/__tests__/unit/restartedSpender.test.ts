import type { VmId } from "@azureshunt/core";
import test from "ava";

import { organisationOf } from "../support/organisationOf.js";
import { relayFleet } from "../support/relayFleet.js";
import { seededRandom } from "../support/seededRandom.js";

const RATE = 1_000;
const BURST = 6_000;
const REQUEST_TOKENS = 10;
const STEP_MS = 50;
/** Twice the rate, so that the bucket is empty when the VM restarts. */
const PER_STEP = 2 * RATE * STEP_MS / 1_000 / REQUEST_TOKENS;

const restarts = [
    { name: "killed, its first beacons list no spending yet", isAnnounced: false, unreadMs: 300 },
    { name: "killed, its first beacon lists its spending", isAnnounced: false, unreadMs: 0 },
    { name: "stopped with a final beacon", isAnnounced: true, unreadMs: 300 },
] as const;

// The counter of a restarted VM begins at 0; taken for a refund of all that the VM had spent, it fills the bucket, and
// the organisation gets a burst beyond its rate.
restarts.forEach(({ name, isAnnounced, unreadMs }) => {
    test(`restarted spender: a VM that starts again refunds nothing: ${name}`, t => {
        const organisation = organisationOf(RATE, BURST);
        const fleet = relayFleet({
            domains: 1,
            vmsPerDomain: 3,
            random: seededRandom(7),
            organisations: unreadMs === 0 ? [organisation] : [],
            // A VM has no allowances, and lists no spending, until it has read the configuration.
            onStart: ({ allowances }) => void fleet.schedule(unreadMs, () => allowances.open([organisation])),
        });
        fleet.runUntil(1_000);
        const listed = fleet.vms().map(vm => vm.listed);
        const [other, restarted] = listed;
        if (other === undefined || restarted === undefined) {
            t.fail("no VM has started");
            return;
        }
        const spendAt = (vm: VmId): number => {
            const { allowances } = fleet.vm(vm);
            return Array.from({ length: PER_STEP }, () => {
                allowances.recordDemand(organisation, REQUEST_TOKENS);
                return allowances.spend(organisation, REQUEST_TOKENS).isRight() ? REQUEST_TOKENS : 0;
            }).reduce<number>((sum, tokens) => sum + tokens, 0);
        };
        const spendUntil = (vms: readonly VmId[], end: number): number =>
            Array.from({ length: Math.round((end - fleet.clock.now()) / STEP_MS) }, () => {
                fleet.runUntil(fleet.clock.now() + STEP_MS);
                // Keeps the virtual clock moving in equal steps.
                fleet.schedule(STEP_MS, () => undefined);
                return vms.map(spendAt).reduce((sum, tokens) => sum + tokens, 0);
            }).reduce((sum, tokens) => sum + tokens, 0);
        fleet.schedule(STEP_MS, () => undefined);
        spendUntil([restarted.vm], 12_000);
        if (isAnnounced) {
            fleet.vm(restarted.vm).exchange.stop();
            fleet.runUntil(fleet.clock.now() + STEP_MS);
        }
        fleet.kill(restarted.vm);
        spendUntil([other.vm], 13_500);
        fleet.start(restarted);
        const granted = spendUntil([other.vm], 15_500);
        t.true(granted <= 1.5 * RATE * 2, `${granted} tokens in 2 s at ${RATE} per second`);
    });
});
