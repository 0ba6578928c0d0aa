import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Makes a folder for the time that something uses it.
 *
 * @param name part of the folder's name
 */
export async function withFolder<T>(name: string, use: (folder: string) => Promise<T>): Promise<T> {
    const folder = mkdtempSync(join(tmpdir(), `azureshunt-${name}-`));
    try {
        return await use(folder);
    }
    finally {
        rmSync(folder, { recursive: true, force: true });
    }
}
