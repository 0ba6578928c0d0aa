import type { ManagedPart } from "./ManagedPart.js";

/**
 * Drains all parts at once, then stops them one after the other, in the order given. A part that fails does not keep the
 * others from being stopped.
 *
 * @param onFault called with the name of a part that failed
 */
export async function stopParts(
    parts: readonly ManagedPart[],
    onFault: (part: string, err: unknown) => void,
): Promise<void> {
    await Promise.all(
        parts.map(async ({ name, drain }) => {
            try {
                await drain?.();
            }
            catch (err) {
                onFault(name, err);
            }
        }),
    );
    for (const { name, stop } of parts) {
        try {
            await stop?.();
        }
        catch (err) {
            onFault(name, err);
        }
    }
}
