import { z } from "zod";

/** Id of a tunnel, a UUID chosen by the VM that uses it. Names the tunnel between this VM and the one that forwards it. */
const TunnelId = z.string().uuid().brand<"TunnelId">();
type TunnelId = z.infer<typeof TunnelId>;

export { TunnelId };
