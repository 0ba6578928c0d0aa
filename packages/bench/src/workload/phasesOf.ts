import type { Phase } from "./Phase.js";

const WARM_UP_PART = 0.2;
const STEADY_PART = 0.3;
const NOISY_PART = 0.25;
const SHIFT_PLACES = 5;

/** Divides a run into its phases. */
export function phasesOf(seconds: number): readonly Phase[] {
    const rest = 1 - WARM_UP_PART - STEADY_PART - NOISY_PART;
    return [
        { name: "warm-up", seconds: seconds * WARM_UP_PART, noisy: false, shift: 0 },
        { name: "steady", seconds: seconds * STEADY_PART, noisy: false, shift: 0 },
        { name: "noisy", seconds: seconds * NOISY_PART, noisy: true, shift: 0 },
        { name: "shifted", seconds: seconds * rest, noisy: false, shift: SHIFT_PLACES },
    ];
}
