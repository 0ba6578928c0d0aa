import type { Phase } from "./Phase.js";

const WARM_UP_SECONDS = 2;
/** Well below the headroom of the organisations' rates, so that allowances, which start empty, fill meanwhile. */
const WARM_UP_INTENSITY = 1.2;
const WARM_UP_SLOWNESS = 0.05;
const STEADY_FRACTION = 0.4;
const NOISY_FRACTION = 0.3;
const SHIFT_PLACES = 5;

const USUAL = { intensity: 1, engineSlowness: 1, noisy: false, shift: 0 } as const;

/**
 * Returns the phases of a run. The first is the warm-up, of constant length and with faster engines.
 *
 * @param seconds total length of the other phases
 */
export function phasesOf(seconds: number): readonly Phase[] {
    const shiftedFraction = 1 - STEADY_FRACTION - NOISY_FRACTION;
    return [
        {
            ...USUAL,
            name: "warm-up",
            seconds: WARM_UP_SECONDS,
            intensity: WARM_UP_INTENSITY,
            engineSlowness: WARM_UP_SLOWNESS,
        },
        { ...USUAL, name: "steady", seconds: seconds * STEADY_FRACTION },
        { ...USUAL, name: "noisy", seconds: seconds * NOISY_FRACTION, noisy: true },
        { ...USUAL, name: "shifted", seconds: seconds * shiftedFraction, shift: SHIFT_PLACES },
    ];
}
