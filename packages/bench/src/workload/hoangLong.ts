import type { Workload } from "./Workload.js";

/** Hoang Long: 13 model replicas; plan reviews over nested standards, and permit filings that must not be repeated. */
const hoangLong: Workload = {
    name: "hoang-long",
    title: "Hoang Long",
    failureDomains: ["district-1", "district-7", "thu-duc"],
    engines: 13,
    serviceReplicas: 3,
    daemons: 6,
    engine: {
        prefillUsPerToken: 12,
        decodeMsPerToken: 8,
        maxBatch: 24,
        maxPieces: 64,
        pieceTokens: 4_096,
        eventLagMs: 100,
        eventLoss: 0.01,
        loadLagMs: 250,
    },
    organisations: [
        { id: "site-engineers", share: 0.45 },
        { id: "permit-clerks", share: 0.25 },
        { id: "police-liaison", share: 0.1 },
        { id: "sign-works", share: 0.12 },
        { id: "inspectors", share: 0.08 },
    ],
    noisy: { id: "sign-works", factor: 5 },
    prefixes: {
        instructionPieces: 1,
        standards: 4,
        standardPieces: 2,
        manualsPerStandard: 6,
        manualPieces: 1,
        skew: 1,
    },
    mix: { long: 0.7, short: 0.1, booking: 0.1, lookup: 0.1 },
    requestsPerSecond: 60,
    questionTokens: 200,
    longAnswerTokens: 20,
    shortAnswerTokens: 6,
    rateHeadroom: 2,
    burstSeconds: 6,
};

export { hoangLong };
