import { callHttp } from "./callHttp.js";
import type { DaemonProcess } from "./DaemonProcess.js";
import { waitUntil } from "./waitUntil.js";

const IN_FORCE_TIMEOUT_MS = 20_000;

/** Daemons on which a release note comes into force. */
type ReleaseTarget = { readonly daemons: readonly Pick<DaemonProcess, "admin">[]; readonly adminKey: string; };

const revisionOf = async (admin: string, key: string): Promise<number> => {
    const { text } = await callHttp({ method: "GET", url: `${admin}/admin/v1/status`, key });
    return (JSON.parse(text) as { readonly revision?: number; }).revision ?? 0;
};

/**
 * Applies a release note through the first daemon and waits until it is in force on all daemons.
 *
 * @returns milliseconds until the note was in force on the last daemon
 * @throws Error if the note is not accepted, or not in force in time
 */
export async function applyRelease({ daemons, adminKey }: ReleaseTarget, note: object): Promise<number> {
    const startedAt = performance.now();
    const admin = daemons[0]?.admin ?? "";
    const { status, text } = await callHttp({
        method: "POST",
        url: `${admin}/admin/v1/releases`,
        key: adminKey,
        body: note,
    });
    const answer = JSON.parse(text) as { readonly kind?: string; readonly revision?: number; };
    if (status !== 200 || answer.kind !== "accepted" || answer.revision === undefined) {
        throw new Error(`release note: expected it accepted, seen ${status} ${text.slice(0, 500)}`);
    }
    const { revision } = answer;
    await waitUntil(`revision ${revision} on every daemon`, IN_FORCE_TIMEOUT_MS, async () => {
        const revisions = await Promise.all(daemons.map(daemon => revisionOf(daemon.admin, adminKey)));
        return revisions.every(current => current >= revision);
    });
    return performance.now() - startedAt;
}
