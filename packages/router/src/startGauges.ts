import type { Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";

/** What the gauges show, asked for when `/metrics` is. */
type GaugeReadings = {
    readonly revision: () => number;
    /** Age of the last confirmation of the configuration; infinite where nothing is confirmed. */
    readonly confirmedMs: () => Millis;
    /** Time since the registry last answered; infinite before its first answer. */
    readonly registryMs: () => Millis;
    readonly endpoints: () => number;
    /** This VM's own requests at endpoints, and prompt tokens of those that have not begun to answer. */
    readonly inFlight: () => number;
    readonly waitingTokens: () => number;
    /** Other VMs that are reckoned with, and those out of hearing. */
    readonly peers: () => number;
    readonly unheard: () => number;
    /** Tokens left in the allowance that has least, debts negative. */
    readonly leastAllowance: () => number;
    readonly fence: () => number | undefined;
};

const NOT_HELD = -1;

/** Registers the gauges of a router; returns the function that unregisters them. */
export function startGauges(metrics: Metrics, readings: GaugeReadings): () => void {
    const gauges = [
        metrics.gauge(
            "azureshunt_configuration_revision",
            "Revision in force; -1 before the first.",
            readings.revision,
        ),
        metrics.gauge(
            "azureshunt_configuration_age_ms",
            "Milliseconds since the revision was known to be the newest.",
            readings.confirmedMs,
        ),
        metrics.gauge("azureshunt_registry_age_ms", "Milliseconds since the registry answered.", readings.registryMs),
        metrics.gauge("azureshunt_endpoints", "Endpoints registered.", readings.endpoints),
        metrics.gauge("azureshunt_in_flight", "This VM's requests at endpoints.", readings.inFlight),
        metrics.gauge(
            "azureshunt_waiting_tokens",
            "Prompt tokens of this VM's requests that endpoints have not begun to answer.",
            readings.waitingTokens,
        ),
        metrics.gauge("azureshunt_peers", "Other VMs that are reckoned with.", readings.peers),
        metrics.gauge("azureshunt_unheard_peers", "Of these, VMs out of hearing.", readings.unheard),
        metrics.gauge(
            "azureshunt_least_allowance_tokens",
            "Tokens left in the allowance that has least.",
            readings.leastAllowance,
        ),
        metrics.gauge(
            "azureshunt_order_fence",
            "Fencing token of the order lease while this VM holds it, else -1.",
            () => readings.fence() ?? NOT_HELD,
        ),
    ];
    return () => gauges.forEach(unregister => unregister());
}
