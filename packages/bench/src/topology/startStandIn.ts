import type { ManagedProcess } from "./ManagedProcess.js";
import { startProcess } from "./startProcess.js";

const START_TIMEOUT_MS = 15_000;

/** A running stand-in with its base URL. */
type StandIn = ManagedProcess & { readonly url: string; };

const readyUrl = (line: string): string | undefined => {
    try {
        const { ready, url } = JSON.parse(line) as { readonly ready?: boolean; readonly url?: string; };
        return ready === true ? url : undefined;
    }
    catch {
        return undefined;
    }
};

/**
 * Starts a stand-in and waits until it listens.
 *
 * @param kind `platform`, `engine`, `service`, `cache` or `link`
 * @param name name of the stand-in
 * @param flags values by flag without the leading dashes; the value of a switch is empty
 * @throws Error if the stand-in ends or does not listen in time
 */
export function startStandIn(kind: string, name: string, flags: Readonly<Record<string, string>>): Promise<StandIn> {
    const args = Object.entries({ name, ...flags }).flatMap(([flag, value]) =>
        value === "" ? [`--${flag}`] : [`--${flag}`, value]
    );
    return new Promise((resolve, reject) => {
        const started = startProcess({
            name,
            script: "standins/bin/standin.js",
            args: [kind, ...args],
            logFile: undefined,
            onLine: line => {
                const url = readyUrl(line);
                if (url !== undefined) {
                    clearTimeout(timer);
                    resolve({ ...started, url });
                }
            },
        });
        const fail = (reason: string): void => reject(new Error(`${name} ${reason}: ${started.errors()}`));
        const timer = setTimeout(() => fail("did not start in time"), START_TIMEOUT_MS);
        void started.exited.then(() => fail("ended"));
    });
}
