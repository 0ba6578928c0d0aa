import type { FailureDomain, VmId } from "@azureshunt/core";

import type { Limits } from "./Limits.js";

/** The home VM of an organisation in one failure domain, and the share of the limits that it holds. */
export type Home = {
    readonly domain: FailureDomain;
    readonly vm: VmId;
    readonly limits: Limits;
};
