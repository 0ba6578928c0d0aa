import type { FailureDomain, Millis, ServiceName } from "@azureshunt/core";

/** Limits of the engines of a service. */
type EngineLimits = {
    /** Requests that one engine runs concurrently. */
    readonly slots: number;
    /** Tokens that fit into one engine's KV cache. */
    readonly cacheTokens: number;
    /** Longest time for which an engine keeps a place for a request that is to come; `undefined` if it keeps none. */
    readonly holdMs: Millis | undefined;
};

/** A KV cache store. Engines fetch cached prompt parts from it and save them there. */
type CacheStore = {
    /** `host:port`, as sent to engines. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** Tokens that fit into it. */
    readonly cacheTokens: number;
};

/** A service whose endpoints register themselves. */
export type Service = {
    readonly name: ServiceName;
    /** Connections that one endpoint accepts from all VMs together. */
    readonly maxConnections: number;
    /** `undefined` for services without a model. */
    readonly engine: EngineLimits | undefined;
    /** Set only for the KV cache store, which takes no requests from callers. */
    readonly cacheStore: CacheStore | undefined;
};
