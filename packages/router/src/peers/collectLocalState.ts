import type { LocalState } from "./LocalState.js";
import type { NewsSources } from "./NewsSources.js";

const leaseState = ({ orders, clock }: NewsSources): LocalState["lease"] => {
    const { tail } = orders.lease();
    return tail === undefined
        ? undefined
        : { offset: tail.offset, holder: tail.holder, ageMs: clock.now() - tail.knownSince };
};

/** Collects this VM's own state for a beacon, except for the engine versions, which are sent in rotation. */
export function collectLocalState(sources: NewsSources): Omit<LocalState, "engineVersions"> {
    const { clock, knowledge, allowances, book, demand, quarantine, registry } = sources;
    const { configuration, confirmedAt, weights } = knowledge.current();
    return {
        revision: configuration?.revision ?? -1,
        confirmedMs: confirmedAt === -Infinity ? undefined : clock.now() - confirmedAt,
        weights: [...weights].flatMap(([model, [target]]) =>
            target === undefined ? [] : [[model, target.version] as const]
        ),
        spent: allowances.spent(),
        load: book.ownShares(),
        demand: demand.rate(),
        lease: leaseState(sources),
        ...quarantine.news(),
        registry: registry.news(),
        hasStore: knowledge.hasStore(),
    };
}
