import { createHash } from "node:crypto";

/** What the text of an answer depends on, beside the position. */
type AnswerSource = {
    readonly prompt: Buffer;
    readonly model: string;
    readonly adapter: string;
    readonly version: string;
};

/** Derives the seed of an answer's tokens. Two engines with the same weights derive the same, so streams can resume. */
export function answerSeed({ prompt, model, adapter, version }: AnswerSource): number {
    const hash = createHash("sha256").update(JSON.stringify([model, adapter, version])).update(prompt).digest();
    return hash.readUInt32BE(0);
}
