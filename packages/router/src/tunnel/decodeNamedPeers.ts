import { FailureDomain, VmId } from "@azureshunt/core";
import type { Peer } from "@azureshunt/core";
import { z } from "zod";

import { VmAddress } from "../peers/VmAddress.js";

const MAX_PEERS = 16;
const NamedPeer = z.object({
    vm: VmId,
    address: VmAddress,
    failureDomain: FailureDomain,
});

/** Decodes the VMs that a peer names in a header; leaves out what is not valid. */
export function decodeNamedPeers(header: string | readonly string[] | undefined): readonly Peer[] {
    return [header ?? []].flat().join(",").split(",").slice(0, MAX_PEERS).flatMap(text => {
        const [vm, address, failureDomain] = text.trim().split(" ");
        const named = NamedPeer.safeParse({ vm, address, failureDomain });
        return named.success ? [named.data] : [];
    });
}
