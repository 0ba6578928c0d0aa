import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));
const MAX_CHARACTERS = 48_000;

type ChatMessage = { readonly role: string; readonly content: string; };

const read = (file: string): string => readFileSync(`${ROOT}${file}`, "utf8");

/**
 * A long prompt with prefixes nested in three levels, made of this repository's documents: instructions of the
 * organisation, inside them the documents, inside them the caller's question.
 *
 * @param question the caller's question
 */
export function longPrompt(question: string): readonly ChatMessage[] {
    const documents = readdirSync(`${ROOT}docs`).filter(file => file.endsWith(".md")).sort();
    const manuals = documents.map(file => read(`docs/${file}`)).join("\n").slice(0, MAX_CHARACTERS);
    return [
        { role: "system", content: `You answer questions of rental desks.\n${read("README.md")}` },
        { role: "user", content: `The manuals:\n${manuals}` },
        { role: "user", content: question },
    ];
}
