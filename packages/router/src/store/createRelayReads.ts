import type { Clock, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";

import type { EndpointAgent } from "../dispatch/EndpointAgent.js";
import type { createMembership } from "../peers/createMembership.js";
import { queryRelay } from "./queryRelay.js";
import type { TopicAnswer } from "./TopicAnswer.js";

type RelayReadParts = {
    readonly clock: Clock;
    readonly agent: EndpointAgent;
    readonly membership: Pick<ReturnType<typeof createMembership>, "isRelay" | "relayAddress">;
    readonly metrics: Metrics;
    /** Whether all VMs are starting for the first time. */
    readonly isFirstStart: boolean;
};

/** Reads of topics from relays in place of the store. */
type RelayReads = {
    /** Reads a topic from a relay; `undefined` if this VM is one, or none has a fresh copy. */
    readonly query: (
        topic: string,
        from: number | undefined,
        isReadWanted?: boolean,
    ) => Promise<TopicAnswer | undefined>;
    /**
     * Returns whether this VM must still wait before its first read of the store. On a first start, all VMs start at
     * once and would all read the store. Therefore each waits until it knows the relays, and the others until the
     * relays have read what they will then be asked for.
     */
    readonly mustWait: () => boolean;
};

/** Time after a first start by which VMs have found the relays, and by which the relays have read the store. */
const RELAYS_FOUND_MS: Millis = 600;
const RELAYS_READ_MS: Millis = 1_500;

/** Creates the reads from relays; the time of a first start counts from now. */
export function createRelayReads(parts: RelayReadParts): RelayReads {
    const { clock, agent, membership, metrics, isFirstStart } = parts;
    const startedAt = clock.now();
    return {
        query: async (topic, from, isReadWanted = false) => {
            const address = membership.isRelay() ? undefined : membership.relayAddress();
            if (address === undefined) {
                return undefined;
            }
            const answer = await queryRelay(agent, address, { topic, from, isReadWanted });
            const end = answer === undefined ? "none" : "answered";
            metrics.count("azureshunt_relay_reads_total", "Reads that relays were asked for.", { topic, end });
            return answer;
        },
        mustWait: () =>
            isFirstStart && clock.now() - startedAt < (membership.isRelay() ? RELAYS_FOUND_MS : RELAYS_READ_MS),
    };
}
