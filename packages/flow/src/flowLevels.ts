/** Fractions of the byte budget at which a VM begins to act, and the age from which an answer counts as not read. */
const flowLevels = {
    /** Above it, answers that have not been read for `unreadMs` are cut off, so that new requests find room. */
    high: 0.75,
    /** Up to here one answer goes on that is read whole, so that some end; the rest is for new requests. */
    readToEnd: 0.7,
    /** Up to here answers are read whole. Level that cutting off aims at; without a gap, each further byte would lead to another search. */
    low: 0.5,
    unreadMs: 250,
    /** The same for answers to requests that may not be repeated, which are lost if they are cut off. */
    onceUnreadMs: 1_000,
} as const;

export { flowLevels };
