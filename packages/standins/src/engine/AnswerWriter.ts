/** Writes one answer as its tokens come. */
export type AnswerWriter = {
    readonly started: (cachedTokens: number) => void;
    readonly token: (position: number, last: boolean) => void;
};
