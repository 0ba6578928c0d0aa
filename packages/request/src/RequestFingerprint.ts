import { z } from "zod";

/** Digest of a request's content, the same each time its caller sends the request. */
const RequestFingerprint = z.string().regex(/^[0-9a-f]{32}$/).brand<"RequestFingerprint">();
type RequestFingerprint = z.infer<typeof RequestFingerprint>;

export { RequestFingerprint };
