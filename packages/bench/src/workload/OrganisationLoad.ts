/** One organisation of a workload. */
export type OrganisationLoad = {
    readonly id: string;
    /** Fraction of all requests that it sends while it keeps to its rate. */
    readonly share: number;
};
