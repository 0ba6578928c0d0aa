/**
 * Bound on the head of an answer from an endpoint, a VM or the store. Node's own bound is the same unless `NODE_OPTIONS` of
 * the place where it runs sets another one, which may be less than any head.
 */
const maxAnswerHeadBytes = 16 * 1024;

export { maxAnswerHeadBytes };
