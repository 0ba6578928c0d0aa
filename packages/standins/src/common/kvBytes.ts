/** The bytes that stand for the KV cache of a piece: its hash, over and over. */
export function kvBytes(hash: string, length: number): Buffer {
    return Buffer.alloc(length, `${hash} `);
}
