const SEED_A = 0xdeadbeef;
const SEED_B = 0x41c6ce57;
const PRIME_A = 2_654_435_761;
const PRIME_B = 1_597_334_677;
const SHIFT = 16;
const TWO_32 = 4_294_967_296;
/** Bits of the second half that fit into a safe integer beside the 32 of the first. */
const LOW_BITS = 0x1fffff;
const RADIX = 36;

/**
 * Hashes a text to 53 bits, written with ten or eleven characters. Not cryptographic: used only for names in messages,
 * never to separate what must be kept apart for security.
 */
export function hashText(text: string): string {
    const hash = { a: SEED_A, b: SEED_B };
    Array.from(text, char => {
        const code = char.charCodeAt(0);
        hash.a = Math.imul(hash.a ^ code, PRIME_A);
        hash.b = Math.imul(hash.b ^ code, PRIME_B);
    });
    const a = Math.imul(hash.a ^ (hash.a >>> SHIFT), PRIME_B) ^ hash.b;
    const b = Math.imul(hash.b ^ (hash.b >>> SHIFT), PRIME_A) ^ hash.a;
    return ((b & LOW_BITS) * TWO_32 + (a >>> 0)).toString(RADIX);
}
