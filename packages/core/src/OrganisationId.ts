import { z } from "zod";

/** Id of an organisation, as in release notes. */
const OrganisationId = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"OrganisationId">();
type OrganisationId = z.infer<typeof OrganisationId>;

export { OrganisationId };
