import type { TopologyPlan } from "../topology/TopologyPlan.js";
import type { Workload } from "../workload/Workload.js";
import { historyFile } from "./historyFile.js";
import { measureNames } from "./measureNames.js";

const flagsOf = (workload: Workload): Readonly<Record<string, string>> => ({
    "holds": `${measureNames.model}@${measureNames.version}`,
    "prefill-us-per-token": String(workload.engine.prefillUsPerToken),
    "decode-ms-per-token": String(workload.engine.decodeMsPerToken),
    "max-batch": String(workload.engine.maxBatch),
    "max-pieces": String(workload.engine.maxPieces),
    "piece-tokens": String(workload.engine.pieceTokens),
    "event-lag-ms": String(workload.engine.eventLagMs),
    "event-loss": String(workload.engine.eventLoss),
    "load-lag-ms": String(workload.engine.loadLagMs),
});

/**
 * Plans the installation on which a workload runs.
 *
 * @param folder folder for settings, logs and the histories of the engines
 */
export function measurePlan(workload: Workload, policy: string, seed: number, folder: string): TopologyPlan {
    const domainOf = (index: number): string => workload.failureDomains[index % workload.failureDomains.length] ?? "";
    const engines = Array.from({ length: workload.engines }, (_, i) => ({
        name: `engine-${i + 1}`,
        kind: "model" as const,
        failureDomain: domainOf(i),
        flags: { ...flagsOf(workload), seed: String(seed + i), history: historyFile(folder, `engine-${i + 1}`) },
    }));
    const services = Array.from({ length: workload.serviceReplicas }, (_, i) => ({
        name: `${measureNames.service}-${i + 1}`,
        kind: "service" as const,
        failureDomain: domainOf(i),
        flags: {},
    }));
    const cache = { name: "kv-store", kind: "cache" as const, failureDomain: domainOf(0), flags: {} };
    return {
        failureDomains: workload.failureDomains,
        daemonsPerDomain: workload.daemons / workload.failureDomains.length,
        platformFlags: {},
        endpoints: [...engines, ...services, cache],
        policy,
        logLevel: "warn",
        folder,
    };
}
