/** Tries of one request at most, the first one included. */
const MAX_TRIES = 4;

export { MAX_TRIES };
