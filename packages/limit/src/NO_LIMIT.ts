/** Value of `perSecond` in a row about an endpoint that names no limit any more. 0 is a limit. */
const NO_LIMIT = -1;

export { NO_LIMIT };
