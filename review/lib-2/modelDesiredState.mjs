/** Returns a desired state with one service of model replicas and one resumable route to it. */
export const modelDesiredState = (version, { models, tenants, maxAttempts = 2 }) => ({
    Version: version,
    Routes: [{
        Name: "r-gen", Host: "h.example", PathPrefix: "/gen/", Kind: "stream", TimeoutMs: 15_000, TargetLatencyMs: 800, Priority: 1,
        Service: "llm", MaxAttempts: maxAttempts, Public: false, Sticky: true, Resumable: true, GapTargetMs: 500,
    }],
    Services: [{
        Name: "llm", HealthPath: "/healthz", MaxConnections: 360, Protocol: "h1", Tls: false,
        Engine: {
            Slots: 64, KvCapacity: 283_555, KvTokenBytes: 18_432, LinkMbps: 550_000, Moves: true, Backups: true, Stride: 5,
            MaxInFlight: 12, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: models.map(Name => ({ Name })),
        },
    }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: tenants ?? [{
        Name: "t0", ApiKeys: ["key0"], Priority: 1, Unit: "tokens", PlainTokens: 200, Isolated: false, RatePerS: 0, Burst: 0,
    }],
});
