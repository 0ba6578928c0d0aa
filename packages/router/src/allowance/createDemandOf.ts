import type { Clock, Millis, OrganisationId, Tokens, VmId } from "@azureshunt/core";

import { createPace } from "./createPace.js";

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

/** What a VM told counts for so long: two of its beacons may be lost among many VMs. */
const TOLD_MS: Millis = 3_000;

/** Keeps what organisations ask for. */
export function createDemandOf(clock: Clock): OrganisationDemand {
    const paces = new Map<OrganisationId, ReturnType<typeof createPace>>();
    const told = new Map<OrganisationId, Map<VmId, Told>>();

    const own: OrganisationDemand["own"] = organisation => paces.get(organisation)?.perSecond() ?? 0;
    return {
        own,
        note: (organisation, tokens) => {
            const pace = paces.get(organisation) ?? createPace(clock);
            paces.set(organisation, pace);
            pace.note(tokens);
        },
        hear: (vm, organisation, perSecond) => {
            const byVm = told.get(organisation) ?? new Map<VmId, Told>();
            told.set(organisation, byVm.set(vm, { perSecond, at: clock.now() }));
        },
        total: organisation =>
            [...told.get(organisation)?.values() ?? []]
                .filter(({ at }) => clock.now() - at < TOLD_MS)
                .reduce((sum, { perSecond }) => sum + perSecond, own(organisation)),
    };
}
