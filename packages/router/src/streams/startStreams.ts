import { createStreamKeeper } from "@azureshunt/continuation";
import type { Clock, Millis } from "@azureshunt/core";
import { startTimeout } from "@azureshunt/lifecycle";
import type { Logger } from "pino";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import { getBody } from "../dispatch/getBody.js";
import type { createMembership } from "../peers/createMembership.js";
import type { EndpointTable } from "../placement/EndpointTable.js";
import type { StorePort } from "../ports/StorePort.js";
import type { startRegistry } from "../registry/startRegistry.js";
import type { createRollouts } from "../rollout/createRollouts.js";
import type { RouterSettings } from "../RouterSettings.js";
import { createVersionRecords } from "./createVersionRecords.js";

type StreamsParts = {
    readonly clock: Clock;
    readonly settings: Pick<RouterSettings, "failureDomain" | "isFirstStart">;
    readonly agent: EndpointAgent;
    readonly store: Pick<StorePort, "newest" | "put">;
    readonly endpointTable: Pick<EndpointTable, "entries" | "entryOf" | "servingEntries">;
    readonly registry: Pick<ReturnType<typeof startRegistry>, "ageMs" | "isContradicted">;
    readonly rollouts: Pick<ReturnType<typeof createRollouts>, "continuableAt">;
    readonly membership: Pick<ReturnType<typeof createMembership>, "livePeers" | "isReader">;
    /** How long a leaving endpoint still takes requests. */
    readonly leavingMs: () => Millis;
    /** Whether this VM still has to find the relays, on a first start of all VMs. */
    readonly mustWaitForRelay: () => boolean;
    /** Sends a datagram to a peer. */
    readonly send: (datagram: Buffer, address: string) => void;
    readonly logger: Logger;
};

/**
 * Age of the registry, as a fraction of the time for which a leaving endpoint still takes requests, up to which it counts
 * as current for the software versions of streams. VMs read it more often than that.
 */
const CURRENT_REGISTRY_FRACTION = 0.75;
/** Longest wait for a peer's answer about a stream; its caller holds a part of the answer and waits for the rest. */
const PEER_ANSWER_MS: Millis = 150;

/** Starts the knowledge of where streams began, and keeps the software versions of services in the store for it. */
export function startStreams(parts: StreamsParts): ReturnType<typeof createStreamKeeper> {
    const { clock, settings, agent, endpointTable, registry, rollouts, membership } = parts;
    const keeper = createStreamKeeper({
        clock,
        failureDomain: settings.failureDomain,
        isFirstStart: settings.isFirstStart,
        runs: endpointTable.entries,
        entryOf: endpointTable.entryOf,
        servingRuns: service => rollouts.continuableAt(service, endpointTable.servingEntries(service)),
        registryAgeMs: registry.ageMs,
        isRegistryContradicted: registry.isContradicted,
        currentMs: () => CURRENT_REGISTRY_FRACTION * parts.leavingMs(),
        peers: membership.livePeers,
        hasRecord: true,
        send: parts.send,
        ask: (address, query) => getBody(agent, address, `/streams?${query}`, PEER_ANSWER_MS),
        whenRecorded: () =>
            Promise.race([
                records.whenRead(),
                new Promise<void>(resolve => startTimeout(PEER_ANSWER_MS, resolve)),
            ]),
    });
    const records = createVersionRecords({
        clock,
        store: parts.store,
        onRead: keeper.learnRecorded,
        onNamed: keeper.learnNamed,
        lacksNames: keeper.lacksNames,
        wanted: keeper.versionsToRecord,
        // On a first start nothing is recorded, so only the VM that writes has to know where the topic ends.
        mayRead: () => !settings.isFirstStart || (membership.isReader() && !parts.mustWaitForRelay()),
        isWriter: membership.isReader,
        logger: parts.logger,
    });
    records.tick();
    return {
        ...keeper,
        tick: () => {
            keeper.tick();
            records.tick();
        },
    };
}
