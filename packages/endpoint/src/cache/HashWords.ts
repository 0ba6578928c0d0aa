/** The 128 bits of a piece's hash as four unsigned 32-bit words. */
export type HashWords = readonly [number, number, number, number];
