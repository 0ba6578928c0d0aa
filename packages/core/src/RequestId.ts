import { z } from "zod";

/** Id of one caller's request; returned in the header x-request-id. */
const RequestId = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"RequestId">();
type RequestId = z.infer<typeof RequestId>;

export { RequestId };
