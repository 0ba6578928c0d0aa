import { z } from "zod";

/** Id of one try of a request at one endpoint. The endpoint's answer must echo it. */
const DispatchId = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"DispatchId">();
type DispatchId = z.infer<typeof DispatchId>;

export { DispatchId };
