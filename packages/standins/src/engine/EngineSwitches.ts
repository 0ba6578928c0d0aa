import { z } from "zod";

/** Switches of a model engine. */
const EngineSwitches = z.strictObject({
    /** A request whose prompt has this text makes the process exit when it joins the batch. Empty: none does. */
    crashOn: z.string().default(""),
    /** The next requests are refused before they run: 503 with `x-not-run: 1`. */
    refuse: z.number().int().min(0).default(0),
    /** Every request is refused in this way, and `/health` answers 503. */
    unready: z.boolean().default(false),
    /** Steps take this many times as long. */
    slowFactor: z.number().positive().default(1),
    /** Steps stop; connections stay open. */
    frozen: z.boolean().default(false),
    /** Connections of the next streams are destroyed after `cutAfterTokens` tokens. */
    cutStreams: z.number().int().min(0).default(0),
    /** The next streams send nothing more after `cutAfterTokens` tokens, and stay open. */
    stallStreams: z.number().int().min(0).default(0),
    cutAfterTokens: z.number().int().min(0).default(3),
    /** The next answers carry the dispatch id and tokens of the request before them. */
    crossAnswers: z.number().int().min(0).default(0),
    /** The next streams leave out the token at `cutAfterTokens`. */
    skipTokens: z.number().int().min(0).default(0),
    /** The next streams send the token at `cutAfterTokens` twice. */
    repeatTokens: z.number().int().min(0).default(0),
    /** Every part of an answer comes this many milliseconds late. */
    answerDelayMs: z.number().min(0).default(0),
    eventLagMs: z.number().min(0).default(0),
    eventLoss: z.number().min(0).max(1).default(0),
    loadLagMs: z.number().min(0).default(0),
    /** Orders are executed, and their connections are destroyed instead of an answer. */
    loseOrderAnswers: z.number().int().min(0).default(0),
    /** Loads take this much longer. */
    loadDelayMs: z.number().min(0).default(0),
    /** Counts up: a change empties the cache and publishes `cleared`. */
    clearCache: z.number().int().min(0).default(0),
});
type EngineSwitches = z.infer<typeof EngineSwitches>;

export { EngineSwitches };
