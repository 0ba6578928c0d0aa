import { KeyId, OrganisationId } from "@azureshunt/core";
import { z } from "zod";

/** A key as declared by a release note. The key itself is shown once and never stored; only its digest is. */
const KeySpec = z.strictObject({
    id: KeyId,
    /** `caller` keys belong to an organisation, `admin` keys to none. */
    kind: z.enum(["caller", "admin"]).default("caller"),
    organisation: OrganisationId.optional(),
    /** SHA-256 of the key in hexadecimal. */
    digest: z.string().regex(/^[0-9a-f]{64}$/, "use 64 hexadecimal digits"),
});
type KeySpec = z.infer<typeof KeySpec>;

export { KeySpec };
