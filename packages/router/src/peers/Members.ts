import type { Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Heard } from "./Heard.js";

/** Another VM, as this one knows it. */
type Member = {
    readonly vm: VmId;
    /** `host:port` for beacons. */
    readonly address: string;
    /** Undefined until its first beacon. */
    readonly heard: Heard | undefined;
};

/** The other VMs. */
export type Members = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly startedAt: Millis;
    /** Whether the list of VMs in the store has been read. */
    readonly isListed: boolean;
    readonly known: ReadonlyMap<VmId, Member>;
    /** Addresses to which beacons go though it is not known whose they are. */
    readonly seeds: readonly string[];
};
