import type { Workload } from "./Workload.js";

/** Lanțul Alb: 8 model replicas; long fitting manuals, and short messages with short answers. */
const lantulAlb: Workload = {
    name: "lantul-alb",
    title: "Lanțul Alb",
    failureDomains: ["brasov", "sibiu", "pitesti"],
    engines: 8,
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
        { id: "rental-desks", share: 0.4 },
        { id: "hut-partners", share: 0.3 },
        { id: "stranded-drivers", share: 0.15 },
        { id: "tyre-shops", share: 0.1 },
        { id: "mountain-rescue", share: 0.05 },
    ],
    noisy: { id: "stranded-drivers", factor: 5 },
    prefixes: {
        instructionPieces: 1,
        standards: 3,
        standardPieces: 1,
        manualsPerStandard: 6,
        manualPieces: 2,
        skew: 1.1,
    },
    mix: { long: 0.6, short: 0.25, booking: 0.05, lookup: 0.1 },
    requestsPerSecond: 45,
    questionTokens: 120,
    longAnswerTokens: 24,
    shortAnswerTokens: 4,
    rateHeadroom: 2,
    burstSeconds: 6,
};

export { lantulAlb };
