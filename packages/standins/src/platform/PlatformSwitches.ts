import { z } from "zod";

/** Parts of the platform that can fail on their own. */
const Part = z.enum(["log", "vms", "weights"]);

/** Switches of the platform. */
const PlatformSwitches = z.strictObject({
    /** The connection of every call is destroyed without an answer, and no call takes effect. */
    down: z.boolean().default(false),
    /** Like `down`, for single parts. */
    downParts: z.array(Part).default([]),
    /** Calls are read but never answered, and no call takes effect. */
    hang: z.boolean().default(false),
    /** Delay before each call takes effect. */
    latencyMs: z.number().min(0).default(0),
    /** Number of next appends that take effect but whose connection is destroyed instead of answered. */
    loseAnswers: z.number().int().min(0).default(0),
    /** Probability with which any other append loses its answer in the same way. */
    loseAnswerRate: z.number().min(0).max(1).default(0),
    retainCount: z.number().int().positive().default(100_000),
    retainMs: z.number().positive().default(3_600_000),
    appendsPerSecond: z.number().int().positive().default(400),
    /** Age of the VM list that is returned. */
    vmLagMs: z.number().min(0).default(0),
    /** Duration of one transfer of weights when no other is in progress. */
    weightsMs: z.number().min(0).default(500),
    /** Weights that the weight store lacks, as `model@version`. */
    missingWeights: z.array(z.string()).default([]),
});
type PlatformSwitches = z.infer<typeof PlatformSwitches>;

export { PlatformSwitches };
