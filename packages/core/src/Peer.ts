import type { FailureDomain } from "./FailureDomain.js";
import type { VmId } from "./VmId.js";

/** Another VM that is alive. */
export type Peer = {
    readonly vm: VmId;
    /** `host:port` of its listener for peers. */
    readonly address: string;
    readonly failureDomain: FailureDomain | undefined;
};
