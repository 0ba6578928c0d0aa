import { z } from "zod";

/** Switches of a model engine. */
const EngineSwitches = z.strictObject({
    /** A request whose prompt contains this text makes the process exit when it joins the batch. Empty: none does. */
    crashOn: z.string().default(""),
    /** Number of next requests that are refused before they run: 503 with `x-not-run: 1`. */
    refuse: z.number().int().min(0).default(0),
    /** Every request is refused in the same way, and `/health` answers 503. */
    unready: z.boolean().default(false),
    /** Factor by which the duration of steps is multiplied. */
    slowFactor: z.number().positive().default(1),
    /** No further step is started; connections stay open. */
    frozen: z.boolean().default(false),
    /** Number of next streams whose connection is destroyed after `cutAfterTokens` tokens. */
    cutStreams: z.number().int().min(0).default(0),
    /** Number of next streams that send nothing after `cutAfterTokens` tokens but stay open. */
    stallStreams: z.number().int().min(0).default(0),
    cutAfterTokens: z.number().int().min(0).default(3),
    /** Number of next answers that get the dispatch id and tokens of the previous request. */
    crossAnswers: z.number().int().min(0).default(0),
    /** Number of next streams that omit the token at `cutAfterTokens`. */
    skipTokens: z.number().int().min(0).default(0),
    /** Number of next streams that send the token at `cutAfterTokens` twice. */
    repeatTokens: z.number().int().min(0).default(0),
    /** Delay of every part of an answer. */
    answerDelayMs: z.number().min(0).default(0),
    eventLagMs: z.number().min(0).default(0),
    eventLoss: z.number().min(0).max(1).default(0),
    loadLagMs: z.number().min(0).default(0),
    /** Number of next orders that are executed but whose connection is destroyed instead of answered. */
    loseOrderAnswers: z.number().int().min(0).default(0),
    /** Time added to each load of weights. */
    loadDelayMs: z.number().min(0).default(0),
    /** A counter: any change of its value empties the cache and publishes `cleared`. */
    clearCache: z.number().int().min(0).default(0),
});
type EngineSwitches = z.infer<typeof EngineSwitches>;

export { EngineSwitches };
