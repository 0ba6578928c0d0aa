/** A gossip message or its answer, as `peers.proto` has it. */
export type GossipMessage = {
    readonly revision: number;
    readonly offset: number;
    readonly digest: string;
    /** 0 when it is not known. */
    readonly confirmedWithinMs: number;
    readonly wantsSnapshot?: boolean;
    /** JSON of a snapshot; empty when there is none. */
    readonly snapshot?: string;
};
