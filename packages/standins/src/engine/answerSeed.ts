import { createHash } from "node:crypto";

/** Everything that the tokens of an answer depend on besides their position. */
type AnswerSource = {
    readonly prompt: Buffer;
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
};

/** Derives the seed of an answer's tokens. It is the same on engines with the same weights, so streams can resume. */
export function answerSeed({ prompt, model, adapter, version }: AnswerSource): number {
    const hash = createHash("sha256").update(JSON.stringify([model, adapter, version])).update(prompt).digest();
    return hash.readUInt32BE(0);
}
