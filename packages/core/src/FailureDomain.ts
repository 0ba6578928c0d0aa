import { z } from "zod";

/** Name of a failure domain. */
const FailureDomain = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"FailureDomain">();
type FailureDomain = z.infer<typeof FailureDomain>;

export { FailureDomain };
