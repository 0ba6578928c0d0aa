const ORGANISATIONS = 24;

/** Returns a declared configuration with a service of engines, a plain service and some dozen organisations with rates. */
export function idleConfiguration(): unknown {
    const route = { Host: "any.test", TimeoutMs: 3_000, TargetLatencyMs: 2_000, MaxAttempts: 2, Public: false };
    return {
        Version: 1,
        Routes: [
            { ...route, Name: "desk", PathPrefix: "/desk/", Kind: "idempotent", Service: "desk", Priority: 1 },
            {
                ...route,
                Name: "once",
                PathPrefix: "/once/",
                Kind: "stream",
                TrafficSplit: [{ Service: "lm", Weight: 1 }],
                Priority: 0,
            },
        ],
        Services: [
            { Name: "desk", HealthPath: "/healthz", MaxConnections: 96 },
            {
                Name: "lm",
                HealthPath: "/healthz",
                MaxConnections: 360,
                Engine: { Slots: 12, KvCapacity: 202_589, KvTokenBytes: 18_432, Models: [{ Name: "m" }] },
            },
        ],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 2_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: Array.from({ length: ORGANISATIONS }, (_, i) => ({
            Name: `org-${i}`,
            ApiKeys: [`key-${i}`],
            Priority: 1,
            Unit: "tokens",
            PlainTokens: 200,
            Isolated: false,
            RatePerS: 1_000,
            Burst: 4_000,
        })),
    };
}
