import type { Clock, Millis, OrganisationId, Refusal, Tokens } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import type { Organisation } from "../configuration/Organisation.js";
import type { Beacon } from "../peers/Beacon.js";
import { advanceShared } from "./advanceShared.js";
import { createOrganisationDemand } from "./createOrganisationDemand.js";
import { grantPart } from "./grantPart.js";
import type { Hearing } from "./Hearing.js";
import { hearSpending } from "./hearSpending.js";
import { openSharedAllowance } from "./openSharedAllowance.js";
import { refundShared } from "./refundShared.js";
import { relimitShared } from "./relimitShared.js";
import type { SharedAllowance } from "./SharedAllowance.js";
import { shortMs } from "./shortMs.js";
import { spendShared } from "./spendShared.js";

/** The allowances of all organisations, as this VM reckons them. */
type Allowances = {
    /** Opens the allowances of organisations that are new, so that they fill before the first request. */
    readonly open: (organisations: Iterable<Organisation>) => void;
    /** A request asks for tokens; to be told once, however often it is charged in vain. */
    readonly noteDemand: (organisation: Organisation, tokens: Tokens) => void;
    /** Takes a request's tokens; Left when the organisation has used up its rate. */
    readonly spend: (organisation: Organisation, tokens: Tokens) => Either<Refusal, void>;
    /** Why a request cannot be charged now, and when it could be. */
    readonly refusal: (organisation: Organisation, tokens: Tokens) => Refusal;
    readonly refund: (organisation: Organisation, tokens: Tokens) => void;
    readonly hear: (beacon: Beacon, isRestarted: boolean) => void;
    /** Tokens left in the allowance that has least, as of its last use; 0 where there is none. */
    readonly least: () => Tokens;
    /** By organisation: what this process has spent, and what is asked of it in a second. */
    readonly spent: () => Beacon["spent"];
};

const MS_PER_SECOND = 1_000;

/**
 * Keeps the allowances.
 *
 * @param hearing which of the other VMs are heard
 * @param random evenly distributed from 0 up to 1
 */
export function createAllowances(clock: Clock, hearing: () => Hearing, random: () => number): Allowances {
    const all = new Map<OrganisationId, SharedAllowance>();
    const demand = createOrganisationDemand(clock);

    /** Whether a request is among those that the bucket can bear until all VMs have heard of each other's. */
    const isBorne = ({ id }: Organisation, { level, overdraft, ratePerSecond }: SharedAllowance): boolean =>
        random() < grantPart({
            level: level + overdraft,
            ratePerSecond,
            demandPerSecond: demand.total(id),
            newsMs: hearing().newsMs,
        });

    const current = ({ id, ratePerSecond, burst }: Organisation): SharedAllowance | undefined => {
        if (ratePerSecond === undefined) {
            return undefined;
        }
        const known = all.get(id) ?? openSharedAllowance(ratePerSecond, burst, clock.now());
        return relimitShared(advanceShared(known, hearing(), clock.now()), ratePerSecond, burst);
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
        const { peers, unheard } = hearing();
        const inDemand = Math.round(demand.total(organisation.id));
        const detail =
            `${organisation.id}: level ${Math.round(allowance?.level ?? 0)}, rate ${organisation.ratePerSecond}, `
            + `demand ${inDemand}, asked ${tokens}, ${peers} other VMs, ${unheard.length} of them out of hearing`;
        return refusalOf("over-rate", detail, { retryAfterSeconds: waitMs / MS_PER_SECOND });
    };
    const refusal: Allowances["refusal"] = (organisation, tokens) => {
        const allowance = current(organisation);
        return refusalAt(organisation, allowance, tokens, allowance === undefined ? 0 : shortMs(allowance));
    };
    const spend: Allowances["spend"] = (organisation, tokens) => {
        const allowance = current(organisation);
        if (allowance === undefined) {
            return Right(undefined);
        }
        const borne = isBorne(organisation, allowance);
        const spent = borne ? spendShared(allowance, tokens) : undefined;
        all.set(organisation.id, spent ?? allowance);
        // Where the bucket holds something, it is the others' news that decide.
        const waitMs = borne ? shortMs(allowance) : Math.max(shortMs(allowance), hearing().newsMs);
        return spent === undefined ? Left(refusalAt(organisation, allowance, tokens, waitMs)) : Right(undefined);
    };
    const refund: Allowances["refund"] = (organisation, tokens) => {
        const allowance = current(organisation);
        if (allowance !== undefined) {
            all.set(organisation.id, refundShared(allowance, tokens));
        }
    };
    const hear: Allowances["hear"] = (beacon, isRestarted) =>
        beacon.spent.forEach(([id, tokens, perSecond]) => {
            demand.hear(beacon.vm, id, perSecond);
            const allowance = all.get(id);
            if (allowance !== undefined) {
                const isFirst = allowance.peers.get(beacon.vm)?.spent === undefined;
                const isYounger = beacon.upMs <= clock.now() - allowance.openedAt;
                all.set(id, hearSpending(allowance, beacon.vm, tokens, isRestarted || (isFirst && isYounger)));
            }
        });
    return {
        open,
        noteDemand: ({ id }, tokens) => demand.note(id, tokens),
        spend,
        refusal,
        refund,
        hear,
        least: () => all.size === 0 ? 0 : Math.min(...[...all.values()].map(({ level }) => level)),
        spent: () => [...all].map(([id, { ownSpent }]) => [id, ownSpent, Math.round(demand.own(id))] as const),
    };
}
