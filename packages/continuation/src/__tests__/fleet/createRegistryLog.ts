import type { RegisteredRun } from "../../RegisteredRun.js";

/** The registry of the endpoints, as a log of their entries. */
type RegistryLog = {
    readonly register: (run: RegisteredRun) => void;
    readonly remove: (name: RegisteredRun["name"]) => void;
    /** Entries that are registered now. */
    readonly current: () => readonly RegisteredRun[];
    /** Entries that were written from an offset on, also those that have been removed since. */
    readonly since: (offset: number) => readonly RegisteredRun[];
    readonly end: () => number;
};

/** Creates an empty registry. */
export function createRegistryLog(): RegistryLog {
    const written: RegisteredRun[] = [];
    const registered = new Map<RegisteredRun["name"], RegisteredRun>();
    return {
        register: run => {
            written.push(run);
            registered.set(run.name, run);
        },
        remove: name => registered.delete(name),
        current: () => [...registered.values()],
        since: offset => written.slice(offset),
        end: () => written.length,
    };
}
