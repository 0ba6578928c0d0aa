import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";

import type { Beacon } from "../../peers/Beacon.js";

/** A beacon of a VM that knows and does nothing; tests replace the fields that matter. */
const emptyBeacon: Beacon = {
    vm: "other" as VmId,
    incarnation: "run" as Incarnation,
    failureDomain: "fd" as FailureDomain,
    upMs: 60_000,
    sequence: 1,
    sentAt: 0,
    echo: undefined,
    capacity: 1,
    scope: "vm",
    vms: [],
    domains: [],
    relayedSpent: [],
    relayedLoad: [],
    relayedDemand: 0,
    revision: -1,
    confirmedMs: undefined,
    weights: [],
    spent: [],
    load: [],
    demand: 0,
    ordered: [],
    engineVersions: [],
    cached: [],
    lease: undefined,
    deaths: [],
    suspectParts: [],
    answeredParts: [],
    quarantined: [],
    limits: [],
    availability: [],
    rollouts: [],
    registry: undefined,
    hasStore: true,
    isLeaving: false,
};

export { emptyBeacon };
