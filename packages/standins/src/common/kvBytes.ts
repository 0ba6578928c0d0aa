/** Returns the bytes that represent the KV cache of a piece: its hash, repeated. */
export function kvBytes(hash: string, length: number): Buffer {
    return Buffer.alloc(length, `${hash} `);
}
