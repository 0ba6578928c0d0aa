import { z } from "zod";

/** Id of a log record, chosen by its writer so that it can look for the record after a lost answer. */
const RecordId = z.string().min(1).max(128).regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, "use letters, digits and . _ : / -")
    .brand<"RecordId">();
type RecordId = z.infer<typeof RecordId>;

export { RecordId };
