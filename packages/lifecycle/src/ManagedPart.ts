/** A part of a running program. */
export type ManagedPart = {
    readonly name: string;
    /** Lets what runs in it finish. All parts drain at once, before any of them is stopped. */
    readonly drain?: () => Promise<void>;
    readonly stop?: () => void | Promise<void>;
};
