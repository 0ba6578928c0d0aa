type Flags = Readonly<Record<string, string>>;

/** One stand-in of an endpoint. */
type EndpointPlan = {
    readonly name: string;
    readonly kind: "model" | "service" | "cache";
    readonly failureDomain: string;
    /** Flags of the stand-in besides its name and failure domain. */
    readonly flags: Flags;
};

/** What `startTopology` starts. */
export type TopologyPlan = {
    readonly failureDomains: readonly string[];
    readonly daemonsPerDomain: number;
    readonly platformFlags: Flags;
    readonly endpoints: readonly EndpointPlan[];
    /** Policy in the daemons' settings. */
    readonly policy: string;
    /** Least level of the daemons' logs. */
    readonly logLevel: string;
    /** Folder for settings and logs. */
    readonly folder: string;
};
