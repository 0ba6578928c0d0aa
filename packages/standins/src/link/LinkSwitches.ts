import { z } from "zod";

/** Switches of the link, of all routes or of one. */
const LinkSwitches = z.strictObject({
    /** Open connections are destroyed, and new ones as soon as they come. */
    cut: z.boolean().default(false),
    /** New connections are accepted, and nothing passes on any. */
    blackhole: z.boolean().default(false),
    /** Milliseconds by which everything is late, each way. */
    delayMs: z.number().min(0).default(0),
});
type LinkSwitches = z.infer<typeof LinkSwitches>;

export { LinkSwitches };
