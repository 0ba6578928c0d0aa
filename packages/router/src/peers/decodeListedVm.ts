import { FailureDomain } from "@azureshunt/core";
import type { VmId } from "@azureshunt/core";
import { jsonOf } from "@azureshunt/http";
import { z } from "zod";

import type { ListedVm } from "./ListedVm.js";
import { VmAddress } from "./VmAddress.js";

const Listed = z.object({
    address: VmAddress,
    failureDomain: FailureDomain,
    capacity: z.number().nonnegative(),
});

/** Decodes a VM's record of the VM list in the store; `undefined` if it is not valid. */
export function decodeListedVm(vm: VmId, value: Buffer): ListedVm | undefined {
    const listed = Listed.safeParse(jsonOf(value));
    return listed.success ? { vm, ...listed.data } : undefined;
}
