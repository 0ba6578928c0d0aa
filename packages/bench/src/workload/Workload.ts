import type { OrganisationLoad } from "./OrganisationLoad.js";

/** How the prefixes of prompts are nested: tenant instructions, standards inside them, manuals inside these. */
type PrefixShape = {
    readonly instructionPieces: number;
    readonly standards: number;
    readonly standardPieces: number;
    readonly manualsPerStandard: number;
    readonly manualPieces: number;
    /** Exponent of the Zipf law by which standards and manuals are chosen. */
    readonly skew: number;
};

/** What a request asks for, by kind. Parts sum to 1. */
type RequestMix = {
    /** A question over a manual. */
    readonly long: number;
    /** A short message over the tenant's instructions alone. */
    readonly short: number;
    /** A call of the plain service that may not be repeated. */
    readonly booking: number;
    /** A call of the plain service that may be. */
    readonly lookup: number;
};

/** The constants of the model engines. */
type EngineShape = {
    readonly prefillUsPerToken: number;
    readonly decodeMsPerToken: number;
    readonly maxBatch: number;
    readonly maxPieces: number;
    readonly pieceTokens: number;
    readonly eventLagMs: number;
    readonly eventLoss: number;
    readonly loadLagMs: number;
};

/** A deployment and the traffic on it. */
type Workload = {
    readonly name: string;
    readonly title: string;
    readonly failureDomains: readonly string[];
    readonly engines: number;
    readonly serviceReplicas: number;
    readonly daemons: number;
    readonly engine: EngineShape;
    readonly organisations: readonly OrganisationLoad[];
    /** The organisation that sends several times its rate, and how many times. */
    readonly noisy: { readonly id: string; readonly factor: number; };
    readonly prefixes: PrefixShape;
    readonly mix: RequestMix;
    readonly requestsPerSecond: number;
    readonly questionTokens: number;
    readonly longAnswerTokens: number;
    readonly shortAnswerTokens: number;
    /** How much more than its expected use an organisation's rate allows. */
    readonly rateHeadroom: number;
    /** Seconds of an organisation's rate that its burst holds. */
    readonly burstSeconds: number;
};

export type { EngineShape, PrefixShape, RequestMix, Workload };
