import { z } from "zod";

/** Id of one lifetime of a process; a restarted process has another one. */
const Incarnation = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"Incarnation">();
type Incarnation = z.infer<typeof Incarnation>;

export { Incarnation };
