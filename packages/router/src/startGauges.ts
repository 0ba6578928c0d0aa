import type { createStreamKeeper } from "@azureshunt/continuation";
import { registerProcessGauges } from "@azureshunt/telemetry";
import type { Metrics } from "@azureshunt/telemetry";

import { orderFence } from "./fleet/orderFence.js";
import type { createByteBudget } from "./flow/createByteBudget.js";
import type { createUnreadBodies } from "./flow/createUnreadBodies.js";
import type { PeerSyncSources } from "./peers/PeerSyncSources.js";
import type { createAvailability } from "./placement/createAvailability.js";
import type { createOverloadGuard } from "./serve/createOverloadGuard.js";
import type { createConnector } from "./tunnel/createConnector.js";
import type { serveTunnels } from "./tunnel/serveTunnels.js";

/** Sources of the gauges, read on every request for `/metrics`. */
type GaugeSources =
    & Pick<
        PeerSyncSources,
        "clock" | "declarations" | "endpointTable" | "endpointLimits" | "allowances" | "orders" | "membership"
    >
    & {
        readonly availability: Pick<ReturnType<typeof createAvailability>, "leaving" | "paused">;
        readonly streams: Pick<ReturnType<typeof createStreamKeeper>, "size">;
        readonly connector: Pick<ReturnType<typeof createConnector>, "isCutOff">;
        readonly tunnels: Pick<ReturnType<typeof serveTunnels>, "size">;
        readonly overload: Pick<ReturnType<typeof createOverloadGuard>, "lagMs" | "shedFraction" | "groups">;
        readonly byteBudget: Pick<ReturnType<typeof createByteBudget>, "heldBytes" | "oldestUnreadMs">;
        readonly unreadBodies: Pick<ReturnType<typeof createUnreadBodies>, "heldBytes">;
    };

/** Value of `order_fence` while this VM does not hold the lease. */
const NO_FENCE = -1;

/** Registers the gauges of a router and returns a function that unregisters them. */
export function startGauges(metrics: Metrics, sources: GaugeSources): () => void {
    const { clock, declarations, endpointTable, allowances, orders, membership } = sources;
    const { availability, endpointLimits, streams, connector, tunnels, overload, byteBudget, unreadBodies } = sources;
    const sumOf = (size: "running" | "waitingTokens"): number =>
        endpointTable.ownShares().reduce((sum, [, share]) => sum + share[size], 0);
    const rows: readonly (readonly [name: string, help: string, read: () => number])[] = [
        [
            "configuration_revision",
            "Revision in force; -1 before the first.",
            () => declarations.current().configuration?.revision ?? -1,
        ],
        [
            "configuration_age_ms",
            "Milliseconds since the revision was known to be the newest.",
            () => clock.now() - declarations.current().confirmedAt,
        ],
        [
            "registry_age_ms",
            "Milliseconds since the registry answered.",
            () => clock.now() - endpointTable.answeredAt(),
        ],
        ["endpoints", "Endpoints registered.", endpointTable.size],
        ["limited_endpoints", "Endpoints that name a limit.", endpointLimits.size],
        ["leaving_endpoints", "Endpoints that have said in an answer that they leave.", availability.leaving],
        ["paused_endpoints", "Endpoints that want no requests of this VM now.", availability.paused],
        ["known_streams", "Streams of which this VM knows where they began.", streams.size],
        ["cut_off", "1 while own links reach no endpoints, else 0.", () => connector.isCutOff() ? 1 : 0],
        ["tunnels", "Connections to endpoints that are open for other VMs.", tunnels.size],
        ["oldest_unread_ms", "Longest time that an answer waits unread for its caller.", byteBudget.oldestUnreadMs],
        ["in_flight", "This VM's requests at endpoints.", () => sumOf("running")],
        [
            "waiting_tokens",
            "Prompt tokens of this VM's requests that endpoints have not begun to answer.",
            () => sumOf("waitingTokens"),
        ],
        ["event_loop_lag_ms", "How late the last tick of the shared timer was.", overload.lagMs],
        [
            "overload_shed_fraction",
            "Fraction of requests that this VM refuses for lack of CPU time.",
            overload.shedFraction,
        ],
        [
            "overload_groups",
            "Most organisations between which the requests of one priority are divided.",
            overload.groups,
        ],
        ["peers", "Other VMs that are reckoned with.", () => membership.liveness().peers],
        ["unheard_peers", "Of these, VMs out of hearing.", () => membership.liveness().silent.length],
        [
            "is_relay",
            "1 while this VM passes facts on for its failure domain, else 0.",
            () => membership.isRelay() ? 1 : 0,
        ],
        ["least_allowance_tokens", "Tokens left in the allowance that has least.", allowances.minLevel],
        [
            "order_fence",
            "Fencing token of the order lease while this VM holds it, else -1.",
            () => orderFence(orders.lease(), clock.now()) ?? NO_FENCE,
        ],
    ];
    const gauges = rows.map(([name, help, read]) => metrics.gauge(`azureshunt_${name}`, help, read));
    const held = "Bytes that are buffered because they have not been read.";
    gauges.push(
        metrics.gauge("azureshunt_held_bytes", held, byteBudget.heldBytes, { for: "callers" }),
        metrics.gauge("azureshunt_held_bytes", held, unreadBodies.heldBytes, { for: "endpoints" }),
        registerProcessGauges(metrics),
    );
    return () => gauges.forEach(unregister => unregister());
}
