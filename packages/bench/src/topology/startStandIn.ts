import type { ManagedProcess } from "./ManagedProcess.js";
import { startProcess } from "./startProcess.js";

const START_BOUND_MS = 15_000;

/** A running stand-in and its base URL. */
type StandIn = ManagedProcess & { readonly url: string; };

const urlOf = (line: string): string | undefined => {
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
 * @param name name of the endpoint
 * @param flags its flags without the leading dashes; one that is a switch has an empty value
 * @throws Error when it does not start
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
                const url = urlOf(line);
                if (url !== undefined) {
                    clearTimeout(timer);
                    resolve({ ...started, url });
                }
            },
        });
        const fail = (why: string): void => reject(new Error(`${name} ${why}: ${started.errors()}`));
        const timer = setTimeout(() => fail("did not start in time"), START_BOUND_MS);
        void started.exited.then(() => fail("ended"));
    });
}
