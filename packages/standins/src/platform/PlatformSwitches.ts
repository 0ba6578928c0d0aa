import { z } from "zod";

/** Parts of the platform that can fail on their own. */
const Part = z.enum(["log", "vms", "weights"]);

/** Switches of the platform. */
const PlatformSwitches = z.strictObject({
    /** Connections of calls are destroyed, and nothing takes effect. */
    down: z.boolean().default(false),
    /** The same for single parts. */
    downParts: z.array(Part).default([]),
    /** Calls are read and never answered, and nothing takes effect. */
    hang: z.boolean().default(false),
    /** Milliseconds that each call takes before it acts. */
    latencyMs: z.number().min(0).default(0),
    /** The next appends take effect, and their connections are destroyed instead of an answer. */
    loseAnswers: z.number().int().min(0).default(0),
    /** Probability that any append's answer is lost in this way. */
    loseAnswerRate: z.number().min(0).max(1).default(0),
    retainCount: z.number().int().positive().default(100_000),
    retainMs: z.number().positive().default(3_600_000),
    appendsPerSecond: z.number().int().positive().default(400),
    /** Age of the list of VMs that is given. */
    vmLagMs: z.number().min(0).default(0),
    /** Milliseconds that one transfer of weights takes on its own. */
    weightsMs: z.number().min(0).default(500),
    /** Weights that the store does not have, as `model@version`. */
    missingWeights: z.array(z.string()).default([]),
});
type PlatformSwitches = z.infer<typeof PlatformSwitches>;

export { PlatformSwitches };
