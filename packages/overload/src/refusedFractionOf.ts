import type { OrganisationId } from "@azureshunt/core";

import type { LoadKind } from "./LoadKind.js";
import type { LoadState } from "./LoadState.js";
import { restGroup } from "./restGroup.js";

/**
 * Returns which fraction of the requests of an organisation and kind is refused; 0 for a kind that is not known yet.
 *
 * An organisation that is alone gets the fraction of the kind as it is. One that is not listed counts as one with a single
 * request: many organisations that send rarely would otherwise always be admitted.
 */
export function refusedFractionOf(
    { kinds, priorities }: Pick<LoadState, "kinds" | "priorities">,
    kind: Pick<LoadKind, "name" | "priority">,
    organisation: OrganisationId | undefined,
): number {
    const ofKind = kinds.get(kind.name)?.refusedFraction ?? 0;
    const { recents, share } = priorities.get(kind.priority) ?? {};
    if (ofKind === 0 || recents === undefined || share === undefined) {
        return ofKind;
    }
    const own = recents.get(organisation);
    if (own !== undefined && recents.size === 1) {
        return ofKind;
    }
    const { level, minFraction } = share;
    return 1 - Math.min(1, Math.max(minFraction, level / (own ?? recents.get(restGroup) ?? 1)));
}
