/** What a process has used since its start. */
export type ProcessUsage = {
    readonly cpuMs: number;
    readonly residentBytes: number;
    /** Bytes that it read and wrote, over sockets and files. */
    readonly transferredBytes: number;
};
