import { z } from "zod";

/** Name of an adapter of a model. */
const AdapterName = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"AdapterName">();
type AdapterName = z.infer<typeof AdapterName>;

export { AdapterName };
