import type { Phase } from "./Phase.js";

const WARM_UP_SECONDS = 2;
/** Well below the headroom of the organisations' rates, so that allowances, which begin empty, fill meanwhile. */
const WARM_UP_INTENSITY = 1.2;
const WARM_UP_SLOWNESS = 0.05;
const STEADY_PART = 0.4;
const NOISY_PART = 0.3;
const SHIFT_PLACES = 5;

const USUAL = { intensity: 1, engineSlowness: 1, noisy: false, shift: 0 } as const;

/**
 * Divides a run into its phases. The warm-up comes first, on engines that are sped up; its length is always the same.
 *
 * @param seconds length of all the others together
 */
export function phasesOf(seconds: number): readonly Phase[] {
    const rest = 1 - STEADY_PART - NOISY_PART;
    return [
        {
            ...USUAL,
            name: "warm-up",
            seconds: WARM_UP_SECONDS,
            intensity: WARM_UP_INTENSITY,
            engineSlowness: WARM_UP_SLOWNESS,
        },
        { ...USUAL, name: "steady", seconds: seconds * STEADY_PART },
        { ...USUAL, name: "noisy", seconds: seconds * NOISY_PART, noisy: true },
        { ...USUAL, name: "shifted", seconds: seconds * rest, shift: SHIFT_PLACES },
    ];
}
