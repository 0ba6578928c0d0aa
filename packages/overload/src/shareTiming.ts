/** Constants of the division between organisations. */
const shareTiming = {
    /** Organisations that are distinguished at one priority or service; the rest form one group. It bounds the state. */
    maxGroups: 256,
    /** Recent requests below which an organisation is forgotten: what is left of a single one after `recentMs`. */
    minRecent: Math.exp(-1),
    /**
     * Fraction served of what an organisation sends, relative to that of all: an organisation that sends many times its
     * share would otherwise be served less than a quarter as often as all. Above a quarter, as draws scatter around it.
     */
    minServedRatio: 0.3,
    /** For how long a refusal for full engines counts: as the time constant of the counts of requests by kind. */
    recentMs: 2_000,
} as const;

export { shareTiming };
