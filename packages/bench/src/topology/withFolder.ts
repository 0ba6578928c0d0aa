import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Calls a function with a new temporary folder and deletes the folder afterwards.
 *
 * @param name part of the folder's name
 * @param shouldKeep whether the folder is kept for inspection; by default it never is
 */
export async function withFolder<T>(
    name: string,
    use: (folder: string) => Promise<T>,
    shouldKeep: (result: T) => boolean = () => false,
): Promise<T> {
    const folder = mkdtempSync(join(tmpdir(), `azureshunt-${name}-`));
    const state = { isKept: false };
    try {
        const result = await use(folder);
        state.isKept = shouldKeep(result);
        return result;
    }
    finally {
        if (!state.isKept) {
            rmSync(folder, { recursive: true, force: true });
        }
    }
}
