import { initialBrittle, isBrittle, isRisky, mayTry, stepBrittle } from "@azureshunt/brittle";
import type { BrittleEvent, BrittleState } from "@azureshunt/brittle";
import type { Clock, EndpointName, ServiceName } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";

type BrittleParts = {
    readonly clock: Clock;
    readonly random: () => number;
    /** Number of VMs that place requests, including this one. */
    readonly vms: () => number;
};

/** What may be sent to endpoints that fall over if they have to refuse too many requests. */
type BrittleServices = {
    /** Records that an endpoint of the service said how many refusals in a second it bears. */
    readonly announce: (service: ServiceName, maxRefusals: number) => void;
    readonly isBrittle: (service: ServiceName) => boolean;
    /** Selects the endpoints of the service that may get a request of this VM now. */
    readonly select: <T extends { readonly candidate: Candidate; }>(
        service: ServiceName,
        placeable: readonly T[],
    ) => readonly T[];
    /** Records that a request is sent to an endpoint with that load. */
    readonly recordTry: (
        service: ServiceName,
        load: { readonly endpoint: EndpointName; readonly running: number; readonly slots: number; },
    ) => void;
    readonly recordRefused: (service: ServiceName, endpoint: EndpointName) => void;
};

/** Creates the state of all services, none of them brittle. */
export function createBrittleServices({ clock, random, vms }: BrittleParts): BrittleServices {
    const states = new Map<ServiceName, BrittleState>();
    const phase = random();
    const stateOf = (service: ServiceName): BrittleState => states.get(service) ?? initialBrittle;
    const isBrittleNow = (service: ServiceName): boolean => isBrittle(stateOf(service), clock.now());
    const apply = (service: ServiceName, event: BrittleEvent): void => {
        states.set(service, stepBrittle(stateOf(service), event, clock.now()));
    };
    return {
        announce: (service, maxRefusals) => apply(service, { kind: "announced", maxRefusals }),
        isBrittle: isBrittleNow,
        select: (service, placeable) =>
            isBrittleNow(service)
                ? placeable.filter(({ candidate: { name: endpoint, running, ownRunning, slots } }) => {
                    apply(service, { kind: "load", endpoint, running, slots });
                    const query = { endpoint, running, ownRunning, slots, vms: vms(), phase, random: random() };
                    return mayTry(stateOf(service), query, clock.now());
                })
                : placeable,
        recordTry: (service, load) => {
            if (isBrittleNow(service) && isRisky(load)) {
                apply(service, { kind: "risky-try", endpoint: load.endpoint });
            }
        },
        recordRefused: (service, endpoint) => {
            if (isBrittleNow(service)) {
                apply(service, { kind: "refused", endpoint, vms: vms(), random: random() });
            }
        },
    };
}
