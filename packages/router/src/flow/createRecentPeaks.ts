import type { Clock, Millis } from "@azureshunt/core";

/** The largest numbers that were recorded lately, by address. */
type RecentPeaks = {
    /** Records a number and returns the largest recent one. */
    readonly record: (address: string, value: number) => number;
    readonly forget: (address: string) => void;
};

/** An endpoint is found dead, or reported as dead, within this time after its calls have ended. */
const RECENT_MS: Millis = 2_000;

/** Creates the state in which nothing was recorded. */
export function createRecentPeaks({ now }: Pick<Clock, "now">): RecentPeaks {
    const peaks = new Map<string, { readonly value: number; readonly at: Millis; }>();
    return {
        record: (address, value) => {
            const peak = peaks.get(address);
            const recent = peak === undefined || now() - peak.at > RECENT_MS ? 0 : peak.value;
            if (value > 0 && value >= recent) {
                peaks.set(address, { value, at: now() });
            }
            else if (recent === 0 && peak !== undefined) {
                peaks.delete(address);
            }
            return Math.max(value, recent);
        },
        forget: address => void peaks.delete(address),
    };
}
