import { VmId } from "@azureshunt/core";
import { z } from "zod";

import type { NamedPeer } from "./NamedPeer.js";

const MAX_PEERS = 16;
const Named = z.object({ vm: VmId, address: z.string().regex(/^[0-9.]+:\d{1,5}$/) });

/** Decodes the VMs that a peer names in a header; leaves out what is not valid. */
export function decodeNamedPeers(header: string | readonly string[] | undefined): readonly NamedPeer[] {
    return [header ?? []].flat().join(",").split(",").slice(0, MAX_PEERS).flatMap(text => {
        const [vm, address] = text.trim().split(" ");
        const named = Named.safeParse({ vm, address });
        return named.success ? [named.data] : [];
    });
}
