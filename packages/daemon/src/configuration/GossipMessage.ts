/** A gossip message or its answer; see `Gossip` and `GossipAnswer` in `peers.proto`. */
export type GossipMessage = {
    readonly revision: number;
    readonly offset: number;
    readonly digest: string;
    /** 0 if unknown. */
    readonly confirmedWithinMs: number;
    readonly wantsSnapshot?: boolean;
    /** JSON of a snapshot; empty if there is none. */
    readonly snapshot?: string;
};
