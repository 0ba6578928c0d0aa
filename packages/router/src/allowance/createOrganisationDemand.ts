import type { Clock, Millis, OrganisationId, Tokens } from "@azureshunt/core";

import { createDemand } from "../placement/createDemand.js";
import type { Spender } from "./Spender.js";

/** The demand of organisations in tokens per second, at this VM and at the others. */
type OrganisationDemand = {
    readonly record: (organisation: OrganisationId, tokens: Tokens) => void;
    /** Tokens per second that an organisation requests at this VM. */
    readonly own: (organisation: OrganisationId) => Tokens;
    /** Stores the demand that another spender reports, in tokens per second. */
    readonly receiveDemand: (spender: Spender, organisation: OrganisationId, perSecond: Tokens) => void;
    /** Takes a time in which this process did not run, while its clock went on, off the age of what was received. */
    readonly onPaused: (ms: Millis) => void;
    /** Tokens per second that an organisation requests at all VMs. */
    readonly total: (organisation: OrganisationId) => Tokens;
    /** Tokens per second that it requests at those of the others that are counted. */
    readonly others: (organisation: OrganisationId, isCounted: (spender: Spender) => boolean) => Tokens;
};

type ReceivedDemand = { readonly perSecond: Tokens; readonly receivedAt: Millis; };

const MS_PER_SECOND = 1_000;
/** Window of the own demand; short, so that a sudden peak shows before much of it is admitted. */
const WINDOW_MS: Millis = 1_000;
/** How long received demand counts: even with many VMs, two beacons of a VM may be lost in this time. */
const VALID_MS: Millis = 3_000;

/** Creates the demand records, empty. */
export function createOrganisationDemand(clock: Clock): OrganisationDemand {
    const owns = new Map<OrganisationId, ReturnType<typeof createDemand>>();
    const received = new Map<OrganisationId, Map<Spender, ReceivedDemand>>();

    const own: OrganisationDemand["own"] = organisation => MS_PER_SECOND * (owns.get(organisation)?.rate() ?? 0);
    const others: OrganisationDemand["others"] = (organisation, isCounted) =>
        [...received.get(organisation) ?? []]
            .filter(([spender, { receivedAt }]) => clock.now() - receivedAt < VALID_MS && isCounted(spender))
            .reduce((sum, [, { perSecond }]) => sum + perSecond, 0);
    return {
        own,
        record: (organisation, tokens) => {
            const demand = owns.get(organisation) ?? createDemand(clock, WINDOW_MS);
            owns.set(organisation, demand);
            demand.record(tokens);
        },
        receiveDemand: (spender, organisation, perSecond) => {
            if (perSecond === 0) {
                received.get(organisation)?.delete(spender);
                return;
            }
            const bySpender = received.get(organisation) ?? new Map<Spender, ReceivedDemand>();
            received.set(organisation, bySpender.set(spender, { perSecond, receivedAt: clock.now() }));
        },
        onPaused: ms =>
            received.forEach(bySpender =>
                bySpender.forEach((each, spender) =>
                    bySpender.set(spender, { ...each, receivedAt: Math.min(clock.now(), each.receivedAt + ms) })
                )
            ),
        others,
        total: organisation => own(organisation) + others(organisation, () => true),
    };
}
