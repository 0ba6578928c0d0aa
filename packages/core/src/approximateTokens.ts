import type { Tokens } from "./Tokens.js";

const BYTES_PER_TOKEN = 4;

/** Estimates the tokens of a text from its length in UTF-8 bytes: four bytes per token, rounded up. */
export function approximateTokens(text: string): Tokens {
    return Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
}
