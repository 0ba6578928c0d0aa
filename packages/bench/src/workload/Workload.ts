import type { OrganisationLoad } from "./OrganisationLoad.js";

/** Nesting of prompt prefixes: instructions of the organisation, then a standard, then a manual of that standard. */
type PrefixShape = {
    readonly instructionPieces: number;
    readonly standards: number;
    readonly standardPieces: number;
    readonly manualsPerStandard: number;
    readonly manualPieces: number;
    /** Exponent of the Zipf distribution by which standards and manuals are chosen. */
    readonly skew: number;
};

/** Fractions of the kinds of request; they sum to 1. */
type RequestMix = {
    /** A question about a manual. */
    readonly long: number;
    /** A short message with the instructions of the organisation as its only prefix. */
    readonly short: number;
    /** A call of the plain service that must not be repeated. */
    readonly booking: number;
    /** A call of the plain service that may be repeated. */
    readonly lookup: number;
};

/** Parameters of the simulated model engines. */
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

/** An installation and the traffic on it. */
type Workload = {
    readonly name: string;
    readonly title: string;
    readonly failureDomains: readonly string[];
    readonly engines: number;
    readonly serviceReplicas: number;
    readonly daemons: number;
    readonly engine: EngineShape;
    readonly organisations: readonly OrganisationLoad[];
    /** The organisation that sends several times its rate in the noisy phase, and the factor on its rate. */
    readonly noisy: { readonly id: string; readonly factor: number; };
    readonly prefixes: PrefixShape;
    readonly mix: RequestMix;
    readonly requestsPerSecond: number;
    readonly questionTokens: number;
    readonly longAnswerTokens: number;
    readonly shortAnswerTokens: number;
    /** Factor on the expected use of an organisation that gives its rate. */
    readonly rateHeadroom: number;
    /** Seconds of an organisation's rate that its burst covers. */
    readonly burstSeconds: number;
};

export type { EngineShape, PrefixShape, RequestMix, Workload };
