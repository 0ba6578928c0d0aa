const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

const mix = (hash: number, text: string): number =>
    Array.from(text).reduce((sum, char) => Math.imul(sum ^ char.charCodeAt(0), FNV_PRIME), hash);

const finalize = (hash: number): number => {
    const first = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35);
    return (second ^ (second >>> 16)) >>> 0;
};

/** Computes the weight of a node for a key, for rendezvous hashing where a cryptographic hash would be too slow. */
export function rendezvousWeight(key: string, node: string): number {
    return finalize(mix(mix(FNV_OFFSET, key), node));
}
