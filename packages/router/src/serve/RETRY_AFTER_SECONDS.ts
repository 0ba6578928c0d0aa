/** After this time a caller may retry: an endpoint may have room or be back by then. */
const RETRY_AFTER_SECONDS = 0.25;

export { RETRY_AFTER_SECONDS };
