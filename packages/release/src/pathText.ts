import type { FieldPath } from "./FieldPath.js";

/** Formats a path, such as `added.keys[0].id`. */
export function pathText(path: FieldPath): string {
    return path.reduce<string>((text, step) => {
        if (typeof step === "number") {
            return `${text}[${step}]`;
        }
        return text === "" ? step : `${text}.${step}`;
    }, "");
}
