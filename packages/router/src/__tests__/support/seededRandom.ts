const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/** Makes a source of evenly distributed numbers from 0 up to 1 that repeats for the same seed, from 1 on. */
export function seededRandom(seed: number): () => number {
    const state = { value: seed };
    return () => {
        state.value = state.value * MULTIPLIER % MODULUS;
        return state.value / MODULUS;
    };
}
