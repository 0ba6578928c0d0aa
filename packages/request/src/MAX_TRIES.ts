/** Maximum number of tries of one request, including the first. */
const MAX_TRIES = 4;

export { MAX_TRIES };
