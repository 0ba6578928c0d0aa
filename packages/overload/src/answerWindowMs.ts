/** Window of the shortest answers: an endpoint that has become slower shows after two of them. */
const answerWindowMs = 10_000;

export { answerWindowMs };
