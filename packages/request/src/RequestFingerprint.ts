import { z } from "zod";

/** Digest of what a request asks for, the same each time that its caller sends it. */
const RequestFingerprint = z.string().regex(/^[0-9a-f]{32}$/).brand<"RequestFingerprint">();
type RequestFingerprint = z.infer<typeof RequestFingerprint>;

export { RequestFingerprint };
