const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/** Random numbers of a simulation. */
type SeededRandom = {
    /** Uniformly distributed in [0, 1). */
    readonly next: () => number;
    readonly between: (min: number, max: number) => number;
    /** One of the values; undefined if there is none. */
    readonly pick: <Value>(values: readonly Value[]) => Value | undefined;
    readonly chance: (probability: number) => boolean;
};

/**
 * Creates random numbers that are the same for the same seed.
 *
 * @param seed 1 or more
 */
export function seededRandom(seed: number): SeededRandom {
    const state = { value: seed * MULTIPLIER % MODULUS };
    const next = (): number => {
        state.value = state.value * MULTIPLIER % MODULUS;
        return state.value / MODULUS;
    };
    return {
        next,
        between: (min, max) => min + (max - min) * next(),
        pick: values => values[Math.floor(next() * values.length)],
        chance: probability => next() < probability,
    };
}
