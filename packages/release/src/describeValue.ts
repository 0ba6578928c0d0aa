import type { FieldPath } from "./FieldPath.js";

const MAX_SHOWN = 60;
const SECRET_FIELDS = ["digest", "secret", "adminKeyDigests", "key"];

const isSecret = (path: FieldPath): boolean => path.some(step => SECRET_FIELDS.includes(String(step)));

const shorten = (text: string): string => text.length > MAX_SHOWN ? `${text.slice(0, MAX_SHOWN)}…` : text;

/** Describes a value for a fault. Of a field that may contain a secret, only type and length are given. */
export function describeValue(value: unknown, path: FieldPath): string {
    if (value === undefined) {
        return "nothing";
    }
    if (value === null) {
        return "an empty value";
    }
    if (Array.isArray(value)) {
        return `a list of ${value.length}`;
    }
    if (typeof value === "object") {
        return "a mapping";
    }
    const text = String(value);
    if (isSecret(path)) {
        return `${typeof value} of ${text.length} characters`;
    }
    return typeof value === "string" ? JSON.stringify(shorten(text)) : text;
}
