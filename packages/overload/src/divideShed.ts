import type { KindLoad } from "./KindLoad.js";
import type { LoadState } from "./LoadState.js";
import { loadTiming } from "./loadTiming.js";
import { shareOf } from "./shareOf.js";

type DividedShed = { readonly kinds: readonly KindLoad[]; readonly priorities: LoadState["priorities"]; };

/**
 * Divides the fraction of all requests that must be refused over the kinds, least urgent first. Kinds of the same
 * urgency are refused alike; within one priority, organisations over their share are refused first.
 *
 * In a burst of one kind its part of all requests grows, so a burst of the least urgent kind pays for itself.
 */
export function divideShed(
    kinds: readonly KindLoad[],
    organisations: LoadState["priorities"],
    shedFraction: number,
): DividedShed {
    const total = kinds.reduce((sum, { recent }) => sum + recent, 0);
    const priorities = [...new Set(kinds.map(({ kind }) => kind.priority))].sort((a, b) => b - a);
    const mostUrgent = priorities.at(-1);
    const left = { requests: shedFraction * total };
    const fractions = new Map(priorities.map(priority => {
        const recent = kinds.reduce((sum, load) => load.kind.priority === priority ? sum + load.recent : sum, 0);
        const minAdmitted = priority === mostUrgent ? loadTiming.minAdmittedUrgent : loadTiming.minAdmitted;
        const refused = Math.min(left.requests, recent * (1 - minAdmitted));
        left.requests -= refused;
        return [priority, recent > 0 ? refused / recent : 0];
    }));
    return {
        kinds: kinds.map(load => ({ ...load, refusedFraction: fractions.get(load.kind.priority) ?? 0 })),
        priorities: new Map(
            [...organisations].map(([priority, { recents }]) => {
                const refused = fractions.get(priority) ?? 0;
                return [priority, { recents, share: refused > 0 ? shareOf(recents, refused) : undefined }];
            }),
        ),
    };
}
