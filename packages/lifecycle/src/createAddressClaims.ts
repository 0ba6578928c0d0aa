import type { Millis } from "@azureshunt/core";

import { claimAddress } from "./claimAddress.js";
import type { LifecycleTelemetry } from "./LifecycleTelemetry.js";

type ClaimParts = {
    /** Time within which a predecessor stops. */
    readonly stopMs: Millis;
    /** Aborted when this process is told to stop while it starts. */
    readonly signal: AbortSignal | undefined;
    readonly logger: Pick<LifecycleTelemetry["logger"], "warn">;
    readonly metrics: Pick<LifecycleTelemetry["metrics"], "count">;
};

/** Binds an address once it is free; see `claimAddress`. */
type Claim = <T>(address: string, bind: () => Promise<T>) => Promise<T>;

/** Time that a predecessor may hold addresses beyond its time to stop, until its supervisor has ended it. */
const PREDECESSOR_MARGIN_MS: Millis = 2_000;

/**
 * Creates the functions by which a program binds its addresses while its predecessor may hold them: `needed` gives up when a
 * predecessor must be gone, `optional` never does.
 */
export function createAddressClaims(
    { stopMs, signal, logger, metrics }: ClaimParts,
): { readonly needed: Claim; readonly optional: Claim; } {
    const onWait = (address: string): void => {
        logger.warn({ address }, "Waiting for an address: another process holds it.");
        metrics.count("azureshunt_address_waits_total", "Waits for an address of this VM.", { address });
    };
    const claimWithin = (withinMs: Millis): Claim => (address, bind) =>
        claimAddress({ address, bind, withinMs, signal, onWait });
    return { needed: claimWithin(stopMs + PREDECESSOR_MARGIN_MS), optional: claimWithin(Infinity) };
}
