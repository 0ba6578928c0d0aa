import type { createStreamKeeper } from "@azureshunt/continuation";
import type { createLoggers, createMetrics } from "@azureshunt/telemetry";

import type { HeapPart } from "./flow/HeapPart.js";
import type { PeerSyncSources } from "./peers/PeerSyncSources.js";

/** What a router knows, and its telemetry. */
type KnowledgeSources =
    & Pick<
        PeerSyncSources,
        | "declarations"
        | "endpointTable"
        | "membership"
        | "peerLoad"
        | "prefixIndex"
        | "quarantine"
        | "registry"
        | "relayBuffer"
    >
    & {
        readonly streams: Pick<ReturnType<typeof createStreamKeeper>, "size">;
        readonly loggers: Pick<ReturnType<typeof createLoggers>, "unwrittenBytes">;
        readonly metrics: Pick<ReturnType<typeof createMetrics>, "series">;
    };

/** Returns the parts of the heap that do not depend on the requests that are being served, by name. */
export function knowledgeParts(sources: KnowledgeSources): Readonly<Record<string, () => number | HeapPart>> {
    const { declarations, endpointTable, loggers, membership, metrics, peerLoad, prefixIndex } = sources;
    const { quarantine, registry, relayBuffer, streams } = sources;
    const configuration = () => declarations.current().configuration;
    return {
        "configuration": () => ({
            count: configuration() === undefined ? 0 : 1,
            bytes: declarations.raw()?.length ?? 0,
        }),
        "organisations": () => configuration()?.organisations.size ?? 0,
        "api-keys": () => configuration()?.ownerOfKey.size ?? 0,
        "routes": () => configuration()?.routes.length ?? 0,
        "declaration-records": declarations.held,
        "registry-records": registry.held,
        "endpoints": endpointTable.size,
        "prefix-parts": prefixIndex.size,
        "known-streams": streams.size,
        "peers": () => membership.liveness().peers,
        "peer-load-rows": peerLoad.size,
        "relayed-rows": relayBuffer.size,
        "suspects": quarantine.size,
        "metric-series": metrics.series,
        "log-lines": () => ({ count: 0, bytes: loggers.unwrittenBytes() }),
    };
}
