import { z } from "zod";

/** Id that the writer gives a log record, so that it can find it again after a lost answer. */
const RecordId = z.string().min(1).max(128).regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, "use letters, digits and . _ : / -")
    .brand<"RecordId">();
type RecordId = z.infer<typeof RecordId>;

export { RecordId };
