import { z } from "zod";

/** Switches of a plain service. */
const ServiceSwitches = z.strictObject({
    /** Milliseconds that each call takes. */
    delayMs: z.number().min(0).default(0),
    /** The next calls run, and their connections are destroyed instead of an answer. */
    loseAnswers: z.number().int().min(0).default(0),
    /** The next calls are refused before they run: 503 with `x-not-run: 1`. */
    refuse: z.number().int().min(0).default(0),
    /** The next calls run and answer 500. */
    fail: z.number().int().min(0).default(0),
    /** The next calls answer with the dispatch id and body of the call before them. */
    crossAnswers: z.number().int().min(0).default(0),
    /** Calls are never answered; they run. */
    hang: z.boolean().default(false),
    /** A call whose path or body has this text makes the process exit while it runs. Empty: none does. */
    crashOn: z.string().default(""),
});
type ServiceSwitches = z.infer<typeof ServiceSwitches>;

export { ServiceSwitches };
