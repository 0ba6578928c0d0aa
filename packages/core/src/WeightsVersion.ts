import { z } from "zod";

/** Version of a model's or an adapter's weights. */
const WeightsVersion = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"WeightsVersion">();
type WeightsVersion = z.infer<typeof WeightsVersion>;

export { WeightsVersion };
