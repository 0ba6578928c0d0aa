import type { FailureDomain, ServiceName } from "@azureshunt/core";

/** What the configuration says of the engines of a service. */
type EngineLimits = {
    /** Requests that one engine runs at once. */
    readonly slots: number;
    /** Tokens that fit into one engine's memory. */
    readonly cacheTokens: number;
};

/** A KV cache store: engines fetch cached parts from it and save them there. */
type CacheStore = {
    /** `host:port`, as engines are told it. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** Tokens that fit into it. */
    readonly cacheTokens: number;
};

/** A service whose endpoints register themselves. */
export type Service = {
    readonly name: ServiceName;
    /** Connections that one endpoint takes from all VMs together. */
    readonly maxConnections: number;
    /** Undefined for plain services. */
    readonly engine: EngineLimits | undefined;
    /** Set only for the store of cached parts, which takes no requests. */
    readonly cacheStore: CacheStore | undefined;
};
