import { createHash } from "node:crypto";

const BYTES_PER_TOKEN = 4;
const HASH_DIGITS = 32;

/**
 * Hashes the complete pieces of a prompt as specified in `docs/PROTOCOLS.md`, each together with all pieces before it.
 *
 * @param salt the `cache_salt` of the request
 */
export function hashPieces(salt: string, prompt: Buffer, pieceTokens: number): readonly string[] {
    const size = pieceTokens * BYTES_PER_TOKEN;
    const starts = Array.from({ length: Math.floor(prompt.length / size) }, (_, i) => i * size);
    return starts.reduce<string[]>((hashes, start) => {
        const before = hashes.at(-1) ?? salt.slice(0, HASH_DIGITS);
        const piece = prompt.subarray(start, start + size);
        const hash = createHash("sha256").update(before).update(piece).digest("hex").slice(0, HASH_DIGITS);
        return [...hashes, hash];
    }, []);
}
