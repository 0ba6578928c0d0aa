import { z } from "zod";

/** Address of a VM's listener for peers, `host:port` with an IP number. */
const VmAddress = z.string().regex(/^[0-9.]+:\d{1,5}$/);

export { VmAddress };
