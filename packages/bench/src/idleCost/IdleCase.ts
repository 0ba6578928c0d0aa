/** A fleet at rest, and the place of the measured VM in it. */
export type IdleCase = {
    /** VMs, including the measured one. */
    readonly vms: number;
    readonly domains: number;
    readonly endpoints: number;
    /** Role of the measured VM in its failure domain. */
    readonly role: "alone" | "leaf" | "relay";
};
