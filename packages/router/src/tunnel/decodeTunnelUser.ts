import type { IncomingHttpHeaders } from "node:http";

import { z } from "zod";

import { VmAddress } from "../peers/VmAddress.js";
import { tunnelHeaders } from "./tunnelHeaders.js";
import { TunnelId } from "./TunnelId.js";
import type { TunnelUser } from "./TunnelUser.js";

const User = z.object({ id: TunnelId, address: VmAddress });

/** Decodes who asks for a tunnel; `undefined` if the request does not say, or says what is not valid. */
export function decodeTunnelUser(headers: IncomingHttpHeaders): TunnelUser | undefined {
    return User.safeParse({ id: headers[tunnelHeaders.id], address: headers[tunnelHeaders.address] }).data;
}
