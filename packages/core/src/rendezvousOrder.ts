import { createHash } from "node:crypto";

const scoreOf = (key: string, node: string): string => createHash("sha256").update(`${key}\0${node}`).digest("hex");

/**
 * Orders nodes for a key by highest random weight: each node's place depends only on the key and its own name, so that
 * a node that comes or goes moves only its own keys.
 *
 * @param key what is to be placed
 * @param nodes the candidates, in any order
 * @returns the nodes, the first choice first
 */
export function rendezvousOrder<Node extends string>(key: string, nodes: readonly Node[]): readonly Node[] {
    return nodes
        .map(node => ({ node, score: scoreOf(key, node) }))
        .sort((a, b) => (a.score < b.score ? 1 : -1))
        .map(entry => entry.node);
}
