import type { Holding } from "./Holding.js";

const HOLDING = /^([^@:]+)(?::([^@]+))?@(.+)$/;

/**
 * Parses a list of weights such as `advisor@v1,advisor:winter@v1`.
 *
 * @throws Error that names the first entry that is not of this form
 */
export function parseHolds(text: string): readonly Holding[] {
    return text.split(",").filter(entry => entry !== "").map(entry => {
        const match = HOLDING.exec(entry);
        if (match === null) {
            throw new Error(`--holds: found "${entry}", use model@version or model:adapter@version`);
        }
        const [, model = "", adapter, version = ""] = match;
        return { model, adapter, version };
    });
}
