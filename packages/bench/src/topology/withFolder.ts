import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Makes a folder for the time that something uses it.
 *
 * @param name part of the folder's name
 * @param keeps whether the folder stays for a look at it afterwards; never when left out
 */
export async function withFolder<T>(
    name: string,
    use: (folder: string) => Promise<T>,
    keeps: (result: T) => boolean = () => false,
): Promise<T> {
    const folder = mkdtempSync(join(tmpdir(), `azureshunt-${name}-`));
    const used = { isKept: false };
    try {
        const result = await use(folder);
        used.isKept = keeps(result);
        return result;
    }
    finally {
        if (!used.isKept) {
            rmSync(folder, { recursive: true, force: true });
        }
    }
}
