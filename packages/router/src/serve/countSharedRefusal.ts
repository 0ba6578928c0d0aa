import type { ErrorKind } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";

/**
 * Counts a refusal for overload by whether the organisation sends or holds more than its share. Operators see from it
 * whether one organisation causes the refusals.
 */
export function countSharedRefusal(metrics: Pick<Metrics, "count">, reason: ErrorKind, isOverShare: boolean): void {
    metrics.count(
        "azureshunt_organisation_refusals_total",
        "Requests refused for overload, by whether their organisation is over its share.",
        { reason, share: isOverShare ? "over" : "within" },
    );
}
