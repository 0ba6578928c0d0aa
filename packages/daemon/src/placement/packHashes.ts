import type { PieceHash } from "@azureshunt/core";

/** Packs hashes of pieces into 16 bytes each. */
export function packHashes(hashes: readonly PieceHash[]): Uint8Array {
    return Buffer.from(hashes.join(""), "hex");
}
