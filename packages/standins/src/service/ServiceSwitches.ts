import { z } from "zod";

/** Switches of a plain service. */
const ServiceSwitches = z.strictObject({
    /** Duration of each call. */
    delayMs: z.number().min(0).default(0),
    /** Number of next calls that run but whose connection is destroyed instead of answered. */
    loseAnswers: z.number().int().min(0).default(0),
    /** Number of next calls that are refused before they run: 503 with `x-not-run: 1`. */
    refuse: z.number().int().min(0).default(0),
    /** Number of next calls that run and are answered with 500. */
    fail: z.number().int().min(0).default(0),
    /** Number of next calls that get the dispatch id and body of the previous call's answer. */
    crossAnswers: z.number().int().min(0).default(0),
    /** Calls run but are never answered. */
    hang: z.boolean().default(false),
    /** A call whose path or body contains this text makes the process exit while it runs. Empty: no call does. */
    crashOn: z.string().default(""),
});
type ServiceSwitches = z.infer<typeof ServiceSwitches>;

export { ServiceSwitches };
