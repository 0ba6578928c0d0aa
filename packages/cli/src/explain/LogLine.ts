/** One line of a VM's log, parsed. */
export type LogLine = {
    /** Milliseconds since the epoch, on the VM's own time of day. */
    readonly time: number;
    readonly vm: string;
    readonly part: string;
    readonly msg: string;
    /** All other fields. */
    readonly fields: Readonly<Record<string, unknown>>;
};
