/** Creates a repeatable source of numbers in [0, 1) with the generator mulberry32. */
export function randomFrom(seed: number): () => number {
    const state = { value: seed | 0 };
    return () => {
        state.value = (state.value + 0x6d2b79f5) | 0;
        const a = Math.imul(state.value ^ (state.value >>> 15), 1 | state.value);
        const b = (a + Math.imul(a ^ (a >>> 7), 61 | a)) ^ a;
        return ((b ^ (b >>> 14)) >>> 0) / 4_294_967_296;
    };
}
