import { z } from "zod";

import { CommonFlags } from "../common/CommonFlags.js";

/** Flags of the link. */
const LinkFlags = CommonFlags.extend({
    /** Routes to open at the start, each as `name=host:port`. */
    route: z.union([z.string(), z.array(z.string())]).default([]).transform(value => [value].flat()),
});
type LinkFlags = z.infer<typeof LinkFlags>;

export { LinkFlags };
