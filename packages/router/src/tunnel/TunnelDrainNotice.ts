import { z } from "zod";

import { TunnelId } from "./TunnelId.js";

/** More tunnels than a VM forwards. */
const MAX_TUNNELS = 1_024;

/** What a VM that stops tells each VM whose tunnels it forwards: these should be closed once they carry no request. */
const TunnelDrainNotice = z.object({ tunnels: z.array(TunnelId).max(MAX_TUNNELS).readonly() });
type TunnelDrainNotice = z.infer<typeof TunnelDrainNotice>;

export { TunnelDrainNotice };
