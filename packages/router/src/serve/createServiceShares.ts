import type { Clock, Millis, OrganisationId, ServiceName } from "@azureshunt/core";
import type { LoadGroup } from "@azureshunt/overload";
import { isOverShare, restGroup, shareTiming } from "@azureshunt/overload";

type Request = { readonly service: ServiceName; readonly organisation: { readonly id: OrganisationId; } | undefined; };

/** What this VM knows of one organisation at a service. */
type Holder = { inProgress: number; refusedAt: Millis; };
type ServiceState = { refusedAt: Millis; readonly holders: Map<LoadGroup, Holder>; };

/** Knows which organisations have requests of this VM in progress at a service that refuses some for full engines. */
type ServiceShares = {
    /** Records that a request is sent to the service; returns what is to be called once its try has ended. */
    readonly begin: (request: Request) => () => void;
    /** Records that a request was refused as engines are full. */
    readonly recordRefused: (request: Request) => void;
    /**
     * Returns whether the service refuses and the organisation has more than its share of the requests in progress. A part
     * of its requests is treated as within the share, so that it is served at least a quarter as often as all.
     *
     * @param draw random number, uniform in [0, 1); the same each time that a request is placed
     */
    readonly isOver: (request: Request, draw: number) => boolean;
};

/**
 * Creates the shares of organisations in this VM's requests in progress. Each request costs two look-ups; the
 * organisations of a service are gone through only while it refuses.
 */
export function createServiceShares(clock: Pick<Clock, "now">): ServiceShares {
    const services = new Map<ServiceName, ServiceState>();
    const isRecent = (refusedAt: Millis): boolean => clock.now() - refusedAt < shareTiming.recentMs;
    const forgetEnded = (holders: ServiceState["holders"]): void =>
        holders.forEach(({ inProgress, refusedAt }, group) => {
            if (inProgress === 0 && !isRecent(refusedAt)) {
                holders.delete(group);
            }
        });
    const stateOf = (service: ServiceName): ServiceState => {
        const known = services.get(service) ?? { refusedAt: -Infinity, holders: new Map() };
        services.set(service, known);
        return known;
    };
    const holderOf = (holders: ServiceState["holders"], group: LoadGroup): Holder => {
        const known = holders.get(group);
        if (known !== undefined) {
            return known;
        }
        if (holders.size >= shareTiming.maxGroups) {
            forgetEnded(holders);
        }
        // The group of the rest does not count towards the bound.
        const isFull = holders.size - (holders.has(restGroup) ? 1 : 0) >= shareTiming.maxGroups;
        if (isFull && group !== restGroup) {
            return holderOf(holders, restGroup);
        }
        const added = { inProgress: 0, refusedAt: -Infinity };
        holders.set(group, added);
        return added;
    };

    return {
        begin: ({ service, organisation }) => {
            const { holders } = stateOf(service);
            const group = organisation?.id;
            const holder = holderOf(holders, group);
            holder.inProgress += 1;
            return () => {
                holder.inProgress -= 1;
                if (holder.inProgress === 0 && !isRecent(holder.refusedAt) && holders.get(group) === holder) {
                    holders.delete(group);
                }
            };
        },
        recordRefused: ({ service, organisation }) => {
            const state = stateOf(service);
            state.refusedAt = clock.now();
            holderOf(state.holders, organisation?.id).refusedAt = state.refusedAt;
        },
        isOver: ({ service, organisation }, draw) => {
            const state = services.get(service);
            if (state === undefined || !isRecent(state.refusedAt)) {
                return false;
            }
            forgetEnded(state.holders);
            const holders = [...state.holders.values()];
            const own = (state.holders.get(organisation?.id) ?? state.holders.get(restGroup))?.inProgress ?? 0;
            const all = holders.reduce((sum, { inProgress }) => sum + inProgress, 0);
            return isOverShare({ own, all, organisations: holders.length })
                && draw >= shareTiming.minServedRatio;
        },
    };
}
