/** Resources that a process has used since its start; `residentBytes` is its present memory. */
export type ProcessUsage = {
    readonly cpuMs: number;
    readonly residentBytes: number;
    /** Bytes read and written, by sockets and files. */
    readonly transferredBytes: number;
};
