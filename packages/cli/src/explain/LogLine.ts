/** One line of a VM's log, parsed. */
export type LogLine = {
    /** Milliseconds since the epoch by the VM's own clock. */
    readonly time: number;
    readonly vm: string;
    readonly part: string;
    readonly msg: string;
    /** All other fields. */
    readonly fields: Readonly<Record<string, unknown>>;
};
