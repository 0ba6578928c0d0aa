import type { VmId } from "@azureshunt/core";

import type { BeaconScope } from "./BeaconScope.js";

/** Address of a beacon, its receiver if that is known, and whose state the beacon contains. */
export type BeaconTarget = {
    readonly address: string;
    readonly vm: VmId | undefined;
    readonly scope: BeaconScope;
};
