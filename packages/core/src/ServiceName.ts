import { z } from "zod";

/** Name of a plain service. */
const ServiceName = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"ServiceName">();
type ServiceName = z.infer<typeof ServiceName>;

export { ServiceName };
