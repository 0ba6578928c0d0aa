import { z } from "zod";

/** Id of a caller's or administrator's key. It is not secret. */
const KeyId = z.string().min(1).max(128).regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, "use letters, digits and . _ : / -")
    .brand<"KeyId">();
type KeyId = z.infer<typeof KeyId>;

export { KeyId };
