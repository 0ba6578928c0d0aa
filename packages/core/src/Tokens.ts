/** Number of tokens of a prompt or an output. */
export type Tokens = number;
