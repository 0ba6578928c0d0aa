import { createHash } from "node:crypto";

const scoreOf = (key: string, node: string): string => createHash("sha256").update(`${key}\0${node}`).digest("hex");

/**
 * Orders nodes for a key by highest random weight (rendezvous hashing). The weight of a node depends only on the key
 * and the name of the node, so adding or removing a node moves only the keys of that node.
 *
 * @param nodes the candidates, in any order
 * @returns the nodes, first choice first
 */
export function rendezvousOrder<Node extends string>(key: string, nodes: readonly Node[]): readonly Node[] {
    return nodes
        .map(node => ({ node, score: scoreOf(key, node) }))
        .sort((a, b) => (a.score < b.score ? 1 : -1))
        .map(entry => entry.node);
}
