import type { Peer } from "@azureshunt/core";

import { encodeNamedPeers } from "./encodeNamedPeers.js";
import { tunnelHeaders } from "./tunnelHeaders.js";

/** VMs to name in an answer to a request for a tunnel, by header. */
type NamedVms = { readonly [Name in "peers" | "helpers"]: readonly Peer[]; };

/** Encodes the header lines that name VMs; nothing for those headers that would name none. */
export function encodeNamingHeaders(vms: NamedVms): string {
    return (["peers", "helpers"] as const)
        .filter(name => vms[name].length > 0)
        .map(name => `${tunnelHeaders[name]}: ${encodeNamedPeers(vms[name])}\r\n`)
        .join("");
}
