import type { EndpointName, Incarnation, ModelName, OrganisationId, VmId } from "@azureshunt/core";
import type { Beacon } from "@azureshunt/router/dist/peers/Beacon.js";

import type { SimulatedVm } from "./SimulatedVm.js";

type CommonFields = Omit<
    Beacon,
    "sequence" | "sentAt" | "echo" | "relayedSpent" | "relayedLoad" | "relayedDemand"
>;

type BeaconState = {
    readonly self: SimulatedVm;
    readonly scope: "vm" | "domain" | "fleet";
    /** All VMs beside the measured one. */
    readonly all: readonly SimulatedVm[];
    readonly digest: string;
    readonly engines: readonly EndpointName[];
    readonly organisations: number;
    readonly upMs: number;
    readonly round: number;
    readonly isUrgent: boolean;
};

const RELAY_CAPACITY = 1.3;
const LEAF_CAPACITY = 0.3;
/** Ages of confirmations: the store is read this often by the VM that reads it for the others. */
const CONFIRMED_MS = 400;
const SEEN_MS = 250;
const VERSION_ROWS = 8;
/** A target that was set this long ago needs no history. */
const TARGET_AGE_MS = 600_000;
const LEASE_OFFSET = 12;

/** Makes the fields of a beacon of a VM at rest that are the same for all receivers. */
export function peerBeacon(state: BeaconState): CommonFields {
    const { self, scope, all, engines, round } = state;
    const capacityOf = ({ isRelay }: SimulatedVm): number => isRelay ? RELAY_CAPACITY : LEAF_CAPACITY;
    const others = all.filter(({ vm }) => vm !== self.vm);
    const isListed = ({ failureDomain, isRelay }: SimulatedVm): boolean =>
        failureDomain === self.failureDomain ? isRelay || scope === "fleet" : isRelay && scope === "fleet";
    const domains = [...new Set(all.map(({ failureDomain }) => failureDomain))]
        .filter(domain => scope === "fleet" || (scope === "domain" && domain === self.failureDomain));
    const countOf = (domain: string): number =>
        all.filter(({ failureDomain, isRelay }) => failureDomain === domain && (scope === "fleet" || !isRelay)).length;
    return {
        vm: self.vm,
        incarnation: `run-of-${self.vm}` as Incarnation,
        failureDomain: self.failureDomain,
        capacity: capacityOf(self),
        upMs: state.upMs + TARGET_AGE_MS,
        scope,
        vms: state.isUrgent ? [] : others.filter(isListed).map(each => ({
            vm: each.vm,
            address: each.address,
            failureDomain: each.failureDomain,
            capacity: capacityOf(each),
            hasStore: each.isRelay,
            ageMs: SEEN_MS,
        })),
        domains: state.isUrgent ? [] : domains.map(failureDomain => ({
            failureDomain,
            vms: countOf(failureDomain),
            silent: 0,
            ageMs: failureDomain === self.failureDomain ? 0 : SEEN_MS,
        })),
        revision: 1,
        confirmedMs: CONFIRMED_MS,
        weights: [["m" as ModelName, 1, TARGET_AGE_MS + Math.floor(state.upMs)]],
        spent: state.isUrgent
            ? []
            : Array.from({ length: state.organisations }, (_, i) => [`org-${i}` as OrganisationId, 0, 0] as const),
        load: [],
        demand: 0,
        ordered: [],
        engineVersions: Array.from(
            { length: Math.min(VERSION_ROWS, engines.length) },
            (_, i) => [engines[(round * VERSION_ROWS + i) % engines.length] ?? "" as EndpointName, 1] as const,
        ),
        cached: [],
        lease: { offset: LEASE_OFFSET, holder: "vm-001" as VmId, ageMs: TARGET_AGE_MS + state.upMs },
        limits: [],
        availability: [],
        rollouts: [],
        deaths: [],
        suspectParts: [],
        answeredParts: [],
        quarantined: [],
        registry: { digest: state.digest, ageMs: CONFIRMED_MS },
        hasStore: self.isRelay,
        isLeaving: false,
    };
}
