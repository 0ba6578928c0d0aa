type Flags = Readonly<Record<string, string>>;

/** Plan of one stand-in for an endpoint. */
type EndpointPlan = {
    readonly name: string;
    readonly kind: "model" | "service" | "cache";
    readonly failureDomain: string;
    /** Flags of the stand-in other than its name and failure domain. */
    readonly flags: Flags;
};

/** Describes the installation that `startTopology` starts. */
export type TopologyPlan = {
    readonly failureDomains: readonly string[];
    readonly daemonsPerDomain: number;
    readonly platformFlags: Flags;
    readonly endpoints: readonly EndpointPlan[];
    /** Placement policy in the settings of the daemons. */
    readonly policy: string;
    /** Minimum level of the daemons' log lines. */
    readonly logLevel: string;
    /** Folder for settings and logs. */
    readonly folder: string;
};
