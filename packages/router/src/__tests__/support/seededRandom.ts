const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/**
 * Creates a generator of uniform random numbers in [0, 1) that yields the same sequence for the same seed.
 *
 * @param seed 1 or more
 */
export function seededRandom(seed: number): () => number {
    const state = { value: seed };
    return () => {
        state.value = state.value * MULTIPLIER % MODULUS;
        return state.value / MODULUS;
    };
}
