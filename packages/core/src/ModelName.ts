import { z } from "zod";

/** Name of a model. */
const ModelName = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"ModelName">();
type ModelName = z.infer<typeof ModelName>;

export { ModelName };
