/** Limits for quarantining what crashes endpoints; times in milliseconds. */
const crashLimits = {
    /**
     * Deaths after which a suspect is quarantined. It may be present at one death by chance, seldom at two; a third one
     * shows that it is the cause, at the price of one more endpoint.
     */
    deaths: 3,
    /** Deaths with weak evidence that weigh as much as one with strong evidence, whenever they were. */
    weakDeaths: 2,
    /** Deaths count as one moment if they are closer together. */
    momentMs: 500,
    /** How long a death counts. Callers that retry such a request do so within their deadline of some seconds. */
    rememberedMs: 60_000,
    /** How long a suspect stays quarantined after its last death. */
    quarantineMs: 600_000,
    /** Time after the last death from which single requests show whether endpoints still crash. */
    probeAfterMs: 120_000,
    /** Time between two such requests. */
    probeGapMs: 30_000,
    /** A part that was answered within this time is not accused. */
    answeredWithinMs: 2_000,
    /** How long a request at a death is sent to the other VMs: some beacons may be lost. */
    sendRequestsForMs: 3_000,
    /** The same for prompt parts, of which there are more. */
    sendPartsForMs: 1_000,
    /** Suspects remembered; those recorded longest ago are dropped first. */
    suspects: 2_000,
    /** Deaths remembered of one suspect, and one more for each further moment. */
    deathsOfOne: 16,
    /** Rows of each kind in one beacon; the newest are sent. */
    rows: 40,
    /** Parts of which the last answer is remembered, before the oldest are overwritten. */
    answeredParts: 8_192,
} as const;

export { crashLimits };
