import { z } from "zod";

/** Digest of an organisation and one of its idempotency keys. */
const KeyDigest = z.string().regex(/^[0-9a-f]{64}$/).brand<"KeyDigest">();
type KeyDigest = z.infer<typeof KeyDigest>;

export { KeyDigest };
