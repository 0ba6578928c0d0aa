import { z } from "zod";

/** Switches of the link, for all routes or for one. */
const LinkSwitches = z.strictObject({
    /** Open connections are destroyed, and new ones as soon as they are accepted. */
    cut: z.boolean().default(false),
    /** Connections are accepted, but data is not forwarded on any of them. */
    blackhole: z.boolean().default(false),
    /** Delay of all data in each direction. */
    delayMs: z.number().min(0).default(0),
});
type LinkSwitches = z.infer<typeof LinkSwitches>;

export { LinkSwitches };
