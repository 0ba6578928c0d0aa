/** Writes one answer; called as its tokens are generated. */
export type AnswerWriter = {
    readonly started: (cachedTokens: number) => void;
    readonly token: (position: number, last: boolean) => void;
};
