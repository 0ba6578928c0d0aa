import type { Millis } from "@azureshunt/core";

/** Period of the pulses: a pulse is long enough to load an endpoint, and several fit into a rollout. */
const PERIOD_MS: Millis = 4_000;

type TrialInputs = {
    /** Fraction of all requests that try the new version. */
    readonly share: number;
    /** Endpoints of the new version. */
    readonly newEndpoints: number;
    /** Time of day, about the same on all VMs. */
    readonly epochMs: Millis;
    /** A number for this request, uniformly distributed in [0, 1). */
    readonly draw: number;
};

/**
 * Decides whether a request tries the new version.
 *
 * A version that fails only under load shows that at its usual load alone, which a steady share of the requests never
 * reaches. So the trial comes in pulses, at the same time on all VMs: during a pulse, the endpoints of the trial get
 * as much as they will when the rollout is completed, and between two pulses nothing.
 */
export function isInTrial({ share, newEndpoints, epochMs, draw }: TrialInputs): boolean {
    if (newEndpoints === 0) {
        return false;
    }
    const pulseShare = Math.ceil(newEndpoints * share) / newEndpoints;
    const isPulse = epochMs % PERIOD_MS < PERIOD_MS * share / pulseShare;
    return isPulse && draw < pulseShare;
}
