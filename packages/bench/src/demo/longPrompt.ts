import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const MAX_CHARACTERS = 48_000;

type ChatMessage = { readonly role: string; readonly content: string; };

const readDocument = (file: string): string => readFileSync(`${ROOT}${file}`, "utf8");

/**
 * Builds a long prompt from this repository's documents. It has three parts, so that prompts share nested prefixes: the
 * organisation's instructions, the documents, and the caller's question.
 */
export function longPrompt(question: string): readonly ChatMessage[] {
    const documents = readdirSync(`${ROOT}docs`).filter(file => file.endsWith(".md")).sort();
    const manuals = documents.map(file => readDocument(`docs/${file}`)).join("\n").slice(0, MAX_CHARACTERS);
    return [
        { role: "system", content: `You answer questions of rental desks.\n${readDocument("README.md")}` },
        { role: "user", content: `The manuals:\n${manuals}` },
        { role: "user", content: question },
    ];
}
