const LETTERS = "abcdefghijklmnopqrstuvwxyz";
const WORD_LENGTH = 3;
const MULTIPLIER = 0x9e3779b1;

const mixBits = (value: number): number => {
    const mixed = Math.imul(value ^ (value >>> 16), MULTIPLIER);
    return (mixed ^ (mixed >>> 15)) >>> 0;
};

/** Returns the token at a position of an answer: three letters and a space, determined by the seed and the position. */
export function tokenText(seed: number, position: number): string {
    const value = mixBits(seed + Math.imul(position + 1, MULTIPLIER));
    const letters = Array.from(
        { length: WORD_LENGTH },
        (_, i) => LETTERS[(value >>> (8 * i)) % LETTERS.length],
    );
    return `${letters.join("")} `;
}
