import type { IdleCase } from "./IdleCase.js";

/** The fleets that are measured; among six VMs in three failure domains, all are relays. */
const idleCases: readonly IdleCase[] = [
    { vms: 1, domains: 1, endpoints: 10, role: "alone" },
    { vms: 6, domains: 3, endpoints: 10, role: "relay" },
    { vms: 61, domains: 4, endpoints: 50, role: "leaf" },
    { vms: 61, domains: 4, endpoints: 50, role: "relay" },
    { vms: 195, domains: 4, endpoints: 150, role: "leaf" },
    { vms: 195, domains: 4, endpoints: 150, role: "relay" },
    { vms: 410, domains: 4, endpoints: 150, role: "leaf" },
    { vms: 410, domains: 4, endpoints: 150, role: "relay" },
];

export { idleCases };
