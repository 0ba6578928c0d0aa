import type { TopologyPlan } from "../topology/TopologyPlan.js";

const FAILURE_DOMAINS: readonly string[] = ["fd-a", "fd-b", "fd-c"];
const DAEMONS_PER_DOMAIN = 2;
const ENGINES_PER_DOMAIN = 2;

const ENGINE_FLAGS: Readonly<Record<string, string>> = {
    "holds": "chain-advisor@v1",
    "prefill-us-per-token": "60",
    "decode-ms-per-token": "4",
    "piece-tokens": "256",
    "max-pieces": "400",
    "event-lag-ms": "50",
    "load-lag-ms": "100",
};

/**
 * Plans the demonstration's installation: three failure domains with two daemons, two engines and one replica of a
 * plain service each, and a KV cache store.
 *
 * @param folder folder for settings and logs
 */
export function demoPlan(folder: string): TopologyPlan {
    const engines = FAILURE_DOMAINS.flatMap(failureDomain =>
        Array.from({ length: ENGINES_PER_DOMAIN }, (_, i) => ({
            name: `engine-${failureDomain}-${i + 1}`,
            kind: "model" as const,
            failureDomain,
            flags: ENGINE_FLAGS,
        }))
    );
    const services = FAILURE_DOMAINS.map(failureDomain => ({
        name: `bookings-${failureDomain}`,
        kind: "service" as const,
        failureDomain,
        flags: {},
    }));
    const cache = { name: "kv-store", kind: "cache" as const, failureDomain: "fd-a", flags: {} };
    return {
        failureDomains: FAILURE_DOMAINS,
        daemonsPerDomain: DAEMONS_PER_DOMAIN,
        platformFlags: {},
        endpoints: [...engines, ...services, cache],
        policy: "azureshunt",
        logLevel: "info",
        folder,
    };
}
