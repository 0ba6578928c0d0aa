import type { Clock, Millis, OrganisationId, Refusal, Tokens, VmId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Organisation } from "../configuration/Organisation.js";
import type { Beacon } from "../peers/Beacon.js";
import type { VmRole } from "../peers/VmRole.js";
import { addedByCounter } from "./addedByCounter.js";
import { addPauseToCounters } from "./addPauseToCounters.js";
import { admittedFraction } from "./admittedFraction.js";
import { advanceShared } from "./advanceShared.js";
import { createOrganisationDemand } from "./createOrganisationDemand.js";
import { createRelayCounters } from "./createRelayCounters.js";
import { createRelayedSpending } from "./createRelayedSpending.js";
import { isStartedLater } from "./isStartedLater.js";
import { openSharedAllowance } from "./openSharedAllowance.js";
import type { PeerLiveness } from "./PeerLiveness.js";
import { receiveSpending } from "./receiveSpending.js";
import { refillWaitMs } from "./refillWaitMs.js";
import { refundShared } from "./refundShared.js";
import type { SentCounter } from "./SentCounter.js";
import { setSharedLimits } from "./setSharedLimits.js";
import type { SharedAllowance } from "./SharedAllowance.js";
import type { Spender } from "./Spender.js";
import { spendShared } from "./spendShared.js";

type SpendingUpdate = Pick<
    Beacon,
    "vm" | "incarnation" | "failureDomain" | "sequence" | "scope" | "upMs" | "spent" | "relayedSpent"
>;

/** The allowances of all organisations, as this VM computes them. */
type Allowances = {
    /** Opens the allowances of new organisations, so that they fill before the first request. */
    readonly open: (organisations: Iterable<Organisation>) => void;
    /** Records a request's demand; to be called once per request, however often charging it fails. */
    readonly recordDemand: (organisation: Organisation, tokens: Tokens) => void;
    /** Spends a request's tokens; Left if the organisation has used up its rate. */
    readonly spend: (organisation: Organisation, tokens: Tokens) => Either<Refusal, void>;
    /** Returns the refusal of a request that cannot be charged now, with the time after which it could be. */
    readonly refusal: (organisation: Organisation, tokens: Tokens) => Refusal;
    readonly refund: (organisation: Organisation, tokens: Tokens) => void;
    /**
     * Takes in the spending that a beacon reports.
     *
     * @param role role of the sender as seen by this VM
     */
    readonly applyBeacon: (beacon: SpendingUpdate, role: VmRole) => void;
    /** Takes a time in which this process did not run, while its clock went on, off the silence of the other VMs. */
    readonly onPaused: (ms: Millis) => void;
    /** Lowest level of all allowances, each as of its last use; 0 if there are none. */
    readonly minLevel: () => Tokens;
    /** By organisation: tokens spent by this process, and its demand in tokens per second. */
    readonly spent: () => Beacon["spent"];
    /**
     * As `spent`, summed over the VMs whose state this relay sends on. The returned function leaves out the part of the
     * receiver; if the receiver is `undefined`, it returns the whole sums.
     */
    readonly relayedSpent: (scope: "domain" | "fleet") => (target: VmId | undefined) => Beacon["relayedSpent"];
};

const MS_PER_SECOND = 1_000;

/**
 * Creates the allowances of all organisations.
 *
 * @param liveness the other VMs, and which of them are silent
 * @param random evenly distributed from 0 up to 1
 */
export function createAllowances(clock: Clock, liveness: () => PeerLiveness, random: () => number): Allowances {
    const all = new Map<OrganisationId, SharedAllowance>();
    const demand = createOrganisationDemand(clock);
    const relayedSpending = createRelayedSpending();
    const relayCounters = createRelayCounters(clock, () => liveness().propagationMs);

    /**
     * Returns whether a request is in the random part that the bucket can cover until all VMs know of each other's
     * spending.
     */
    const isAdmitted = ({ id }: Organisation, { level, overdraft, ratePerSecond }: SharedAllowance): boolean =>
        random() < admittedFraction({
            level: level + overdraft,
            ratePerSecond,
            demandPerSecond: demand.total(id),
            propagationMs: liveness().propagationMs,
        });

    const current = ({ id, ratePerSecond, burst }: Organisation): SharedAllowance | undefined => {
        if (ratePerSecond === undefined) {
            return undefined;
        }
        const known = all.get(id) ?? openSharedAllowance(ratePerSecond, burst, clock.now());
        return setSharedLimits(advanceShared(known, liveness(), clock.now()), ratePerSecond, burst);
    };
    const open: Allowances["open"] = organisations =>
        [...organisations].filter(({ id }) => !all.has(id)).forEach(organisation => {
            const opened = current(organisation);
            if (opened !== undefined) {
                all.set(organisation.id, opened);
            }
        });
    const refusalAt = (
        organisation: Organisation,
        allowance: SharedAllowance | undefined,
        tokens: Tokens,
        waitMs: Millis,
    ): Refusal => {
        const { peers, silent } = liveness();
        const inDemand = Math.round(demand.total(organisation.id));
        const detail =
            `${organisation.id}: level ${Math.round(allowance?.level ?? 0)}, rate ${organisation.ratePerSecond}, `
            + `demand ${inDemand}, asked ${tokens}, ${peers} other VMs, ${silent.length} of them out of hearing`;
        return refusalOf("over-rate", detail, { retryAfterSeconds: waitMs / MS_PER_SECOND });
    };
    const refusal: Allowances["refusal"] = (organisation, tokens) => {
        const allowance = current(organisation);
        return refusalAt(organisation, allowance, tokens, allowance === undefined ? 0 : refillWaitMs(allowance));
    };
    const spend: Allowances["spend"] = (organisation, tokens) => {
        const allowance = current(organisation);
        if (allowance === undefined) {
            return Right(undefined);
        }
        const admitted = isAdmitted(organisation, allowance);
        const spent = admitted ? spendShared(allowance, tokens) : undefined;
        all.set(organisation.id, spent ?? allowance);
        // A request outside the admitted part waits until the other VMs' spending has arrived.
        const waitMs = admitted ? refillWaitMs(allowance) : Math.max(refillWaitMs(allowance), liveness().propagationMs);
        return spent === undefined ? Left(refusalAt(organisation, allowance, tokens, waitMs)) : Right(undefined);
    };
    const refund: Allowances["refund"] = (organisation, tokens) => {
        const allowance = current(organisation);
        if (allowance !== undefined) {
            all.set(organisation.id, refundShared(allowance, tokens));
        }
    };
    /**
     * Debits what a spender's counter adds.
     *
     * @returns the tokens that the counter adds, including those already assumed; 0 if the organisation's allowance has
     * not been opened here
     */
    const debit = (id: OrganisationId, sent: SentCounter): Tokens => {
        const allowance = all.get(id);
        if (allowance === undefined) {
            return 0;
        }
        const now = clock.now();
        const received = receiveSpending(allowance, sent, now);
        if (received === allowance) {
            // The counter is the known one, so it adds nothing: the usual case, for each organisation in each beacon.
            return 0;
        }
        all.set(id, received);
        return addedByCounter(allowance, sent, now);
    };
    const receiveOwn = ({ vm, incarnation, upMs, spent }: SpendingUpdate, role: VmRole): void =>
        spent.forEach(([id, tokens, perSecond]) => {
            demand.receiveDemand(vm, id, perSecond);
            const added = debit(id, { spender: vm, incarnation, upMs, spent: tokens });
            relayedSpending.record(id, vm, role, added);
        });
    const receiveRelayed = (beacon: SpendingUpdate, role: VmRole): void => {
        const { vm, incarnation, failureDomain, sequence, scope, upMs, relayedSpent } = beacon;
        const spender: Spender = scope === "fleet" ? "fleet" : `domain ${failureDomain}`;
        relayedSpent.forEach(([id, , perSecond]) => demand.receiveDemand(spender, id, perSecond));
        const added = relayCounters.receiveUpdate({
            spender,
            relay: `${vm}/${incarnation}`,
            sequence,
            rows: relayedSpent.map(([id, tokens]) => [id, tokens] as const),
            assumedFrom: id => all.get(id)?.peers.get(spender)?.assumedFrom,
            isStartedLater: id => {
                const allowance = all.get(id);
                return allowance !== undefined && isStartedLater(allowance, upMs, clock.now());
            },
        });
        // While VMs differ on which VMs are relays, spending that reaches both a relay and a VM behind it must not
        // count twice.
        const isForThisVm = role === (scope === "fleet" ? "relay" : "remote-relay");
        (isForThisVm ? added : []).forEach(([id, tokens]) => {
            const before = all.get(id)?.peers.get(spender)?.counters.get(undefined)?.spent ?? 0;
            debit(id, { spender, incarnation: undefined, upMs: 0, spent: before + tokens });
            if (scope === "domain") {
                relayedSpending.record(id, spender, "remote-relay", tokens);
            }
        });
    };
    const applyBeacon: Allowances["applyBeacon"] = (beacon, role) => {
        // The spending of an indirect VM is also sent by its relays.
        if (role !== "indirect") {
            receiveOwn(beacon, role);
        }
        if (beacon.scope === "domain" || beacon.scope === "fleet") {
            receiveRelayed(beacon, role);
        }
    };
    const relayedSpent: Allowances["relayedSpent"] = scope => {
        const rows = [...all.keys()].map(id => ({
            id,
            tokens: relayedSpending.total(scope, id),
            perSecond: demand.others(id, spender => relayedSpending.isRelayed(scope, spender)),
        }));
        return target =>
            rows.map(({ id, tokens, perSecond }) => {
                const own = target === undefined ? 0 : relayedSpending.of(scope, id, target);
                const ownDemand = target === undefined || !relayedSpending.isRelayed(scope, target)
                    ? 0
                    : demand.others(id, spender => spender === target);
                return [id, tokens - own, Math.round(perSecond - ownDemand)] as const;
            });
    };
    return {
        open,
        recordDemand: ({ id }, tokens) => demand.record(id, tokens),
        spend,
        refusal,
        refund,
        applyBeacon,
        onPaused: ms => {
            demand.onPaused(ms);
            relayCounters.onPaused(ms);
            all.forEach((allowance, id) => all.set(id, addPauseToCounters(allowance, ms, clock.now())));
        },
        minLevel: () => all.size === 0 ? 0 : Math.min(...[...all.values()].map(({ level }) => level)),
        relayedSpent,
        spent: () => [...all].map(([id, { ownSpent }]) => [id, ownSpent, Math.round(demand.own(id))] as const),
    };
}
