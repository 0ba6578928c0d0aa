import type { Clock, Millis, OrganisationId, Tokens, VmId } from "@azureshunt/core";

import { createDemand } from "../placement/createDemand.js";

/** What organisations ask for, at this VM and at the others. */
type OrganisationDemand = {
    readonly note: (organisation: OrganisationId, tokens: Tokens) => void;
    /** Tokens a second that an organisation asks for at this VM. */
    readonly own: (organisation: OrganisationId) => Tokens;
    /** What another VM told of its own. */
    readonly hear: (vm: VmId, organisation: OrganisationId, perSecond: Tokens) => void;
    /** Tokens a second that an organisation asks for at all VMs. */
    readonly total: (organisation: OrganisationId) => Tokens;
};

type Told = { readonly perSecond: Tokens; readonly at: Millis; };

const MS_PER_SECOND = 1_000;
/** Short, so that a sudden peak shows before it has cost much. */
const WINDOW_MS: Millis = 1_000;
/** What a VM told counts for so long: two of its beacons may be lost among many VMs. */
const TOLD_MS: Millis = 3_000;

/** Keeps what organisations ask for. */
export function createOrganisationDemand(clock: Clock): OrganisationDemand {
    const owns = new Map<OrganisationId, ReturnType<typeof createDemand>>();
    const told = new Map<OrganisationId, Map<VmId, Told>>();

    const own: OrganisationDemand["own"] = organisation => MS_PER_SECOND * (owns.get(organisation)?.rate() ?? 0);
    return {
        own,
        note: (organisation, tokens) => {
            const demand = owns.get(organisation) ?? createDemand(clock, WINDOW_MS);
            owns.set(organisation, demand);
            demand.note(tokens);
        },
        hear: (vm, organisation, perSecond) => {
            const byVm = told.get(organisation) ?? new Map<VmId, Told>();
            if (perSecond === 0) {
                byVm.delete(vm);
                return;
            }
            told.set(organisation, byVm.set(vm, { perSecond, at: clock.now() }));
        },
        total: organisation =>
            [...told.get(organisation)?.values() ?? []]
                .filter(({ at }) => clock.now() - at < TOLD_MS)
                .reduce((sum, { perSecond }) => sum + perSecond, own(organisation)),
    };
}
