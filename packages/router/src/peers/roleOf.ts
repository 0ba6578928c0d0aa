import type { FailureDomain, VmId } from "@azureshunt/core";

import type { VmRole } from "./VmRole.js";

/** Inputs that decide the role of a VM. */
type RoleView = {
    readonly vm: VmId;
    readonly failureDomain: FailureDomain | undefined;
    readonly self: { readonly vm: VmId; readonly failureDomain: FailureDomain; };
    readonly relays: ReadonlyMap<FailureDomain, readonly VmId[]>;
};

/** Returns the role of a peer as seen by `self`. */
export function roleOf({ vm, failureDomain, self, relays }: RoleView): VmRole {
    const isRelay = failureDomain !== undefined && (relays.get(failureDomain) ?? []).includes(vm);
    const isSelfRelay = (relays.get(self.failureDomain) ?? []).includes(self.vm);
    if (failureDomain === self.failureDomain) {
        return isRelay ? "relay" : isSelfRelay ? "leaf" : "indirect";
    }
    return isRelay && isSelfRelay ? "remote-relay" : "indirect";
}
