import { costShape } from "./costShape.js";

const route = { Host: costShape.host, TimeoutMs: 3_000, TargetLatencyMs: 2_000, MaxAttempts: 2, Priority: 1 };

/** A declared configuration with one plain route, one for streams and one organisation. */
const costConfiguration = {
    Version: 1,
    Routes: [
        { ...route, Name: "look", PathPrefix: "/look/", Kind: "idempotent", Service: "desk", Public: false },
        {
            ...route,
            Name: "tag",
            PathPrefix: "/tag/",
            Kind: "stream",
            Resumable: true,
            TrafficSplit: [{ Service: "lm", Weight: 1 }],
            Public: false,
        },
    ],
    Services: [
        { Name: "desk", HealthPath: "/healthz", MaxConnections: 96 },
        {
            Name: "lm",
            HealthPath: "/healthz",
            MaxConnections: 360,
            Engine: { Slots: 64, KvCapacity: 1_000_000, KvTokenBytes: 18_432, Models: [{ Name: costShape.model }] },
        },
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
    Tenants: [{
        Name: "org",
        ApiKeys: [costShape.key],
        Priority: 1,
        Unit: "tokens",
        PlainTokens: 200,
        Isolated: true,
        RatePerS: 0,
    }],
};

export { costConfiguration };
