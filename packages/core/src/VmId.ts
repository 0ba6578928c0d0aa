import { z } from "zod";

/** Name of an entry VM, from its settings. */
const VmId = z.string().min(1).max(128).regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, "use letters, digits and . _ : / -")
    .brand<"VmId">();
type VmId = z.infer<typeof VmId>;

export { VmId };
