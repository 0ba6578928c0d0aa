/** One number for each part that a service's start consists of: prefill or plain work, first token, running requests. */
export type Weights = readonly [prefill: number, firstToken: number, running: number];
