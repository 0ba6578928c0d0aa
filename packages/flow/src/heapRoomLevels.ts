/** Fractions of the heap's limit up to which it may be filled. The rest is for answers, state, and what is not collected yet. */
const heapRoomLevels = {
    /** Up to here a kind of requests may hold more than its share of what all hold. */
    shared: 0.6,
    /** Up to here connections are kept between requests. */
    connections: 0.65,
    /** Up to here new connections and requests are read. */
    requests: 0.7,
    /** Beyond it, requests that wait in this VM are refused, down to the level for new ones. */
    waiting: 0.8,
} as const;

export { heapRoomLevels };
