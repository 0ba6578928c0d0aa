import { FailureDomain } from "@azureshunt/core";
import type { VmId } from "@azureshunt/core";
import { z } from "zod";

import type { ListedVm } from "./ListedVm.js";

const Listed = z.object({
    address: z.string().regex(/^[0-9.]+:\d{1,5}$/),
    failureDomain: FailureDomain,
    capacity: z.number().nonnegative(),
});

const parse = (value: Buffer): unknown => {
    try {
        return JSON.parse(value.toString("utf8"));
    }
    catch {
        return undefined;
    }
};

/** Decodes a VM's record of the VM list in the store; `undefined` if it is not valid. */
export function decodeListedVm(vm: VmId, value: Buffer): ListedVm | undefined {
    const listed = Listed.safeParse(parse(value));
    return listed.success ? { vm, ...listed.data } : undefined;
}
