import { z } from "zod";

import { isVmAddress } from "./isVmAddress.js";

/** Address of a VM's listener for peers, `host:port` with an IP number. */
const VmAddress = z.string().refine(isVmAddress);

export { VmAddress };
