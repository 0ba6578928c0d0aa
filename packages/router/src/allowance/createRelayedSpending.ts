import type { OrganisationId, Tokens, VmId } from "@azureshunt/core";

import type { VmRole } from "../peers/VmRole.js";
import type { Spender } from "./Spender.js";

type RelayScope = "domain" | "fleet";

/** Sums of the spending that this VM received and, as a relay, sends on. */
type RelayedSpending = {
    readonly record: (organisation: OrganisationId, spender: Spender, role: VmRole, tokens: Tokens) => void;
    /** All tokens recorded for a scope since this process started. */
    readonly total: (scope: RelayScope, organisation: OrganisationId) => Tokens;
    /** The part of that total that one VM spent. */
    readonly of: (scope: RelayScope, organisation: OrganisationId, vm: VmId) => Tokens;
    /** Whether a spender's state is relayed in a scope, by its last role. */
    readonly isRelayed: (scope: RelayScope, spender: Spender) => boolean;
};

type Sums = Map<OrganisationId, Tokens>;

const add = (sums: Sums, organisation: OrganisationId, tokens: Tokens): void => {
    sums.set(organisation, (sums.get(organisation) ?? 0) + tokens);
};

/**
 * Creates the sums, empty.
 *
 * When a VM becomes a relay, it sends its spending itself. If all that it ever spent then left the sums, the other VMs
 * would take that for a refund and let the organisation spend the tokens again. To prevent this, spending is added when
 * it is received while the VM's state is relayed, and it stays in the sums.
 */
export function createRelayedSpending(): RelayedSpending {
    const sums: Record<RelayScope, Sums> = { domain: new Map(), fleet: new Map() };
    const bySpender = new Map<Spender, Record<RelayScope, Sums>>();
    const roles = new Map<Spender, VmRole>();

    const scopesOf = (role: VmRole | undefined): readonly RelayScope[] =>
        role === "leaf" ? ["domain", "fleet"] : role === "remote-relay" ? ["fleet"] : [];

    const record: RelayedSpending["record"] = (organisation, spender, role, tokens) => {
        roles.set(spender, role);
        if (tokens === 0) {
            return;
        }
        const own = bySpender.get(spender) ?? { domain: new Map(), fleet: new Map() };
        bySpender.set(spender, own);
        scopesOf(role).forEach(scope => {
            add(sums[scope], organisation, tokens);
            add(own[scope], organisation, tokens);
        });
    };
    return {
        record,
        total: (scope, organisation) => sums[scope].get(organisation) ?? 0,
        of: (scope, organisation, vm) => bySpender.get(vm)?.[scope].get(organisation) ?? 0,
        isRelayed: (scope, spender) => scopesOf(roles.get(spender)).includes(scope),
    };
}
