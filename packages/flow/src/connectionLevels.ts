/** How many connections may hold bytes that are not read yet. */
type ConnectionLevels = {
    /** Connections that wait to be accepted. */
    readonly backlog: number;
    /** Connections that wait to be read. */
    readonly unread: number;
};

const BYTES_PER_MB = 1024 * 1024;
/** What the system receives on a connection of which nothing has been read. */
const RECEIVED_BYTES = 64 * 1024;
/** Parts of a VM's memory. */
const BACKLOG_FRACTION = 0.32;
const UNREAD_FRACTION = 0.1;
/** The queue must hold what arrives in some turns of the event loop, as the system resets callers otherwise. */
const MIN_CONNECTIONS = 128;
const MAX_CONNECTIONS = 1_024;

const connectionsIn = (bytes: number): number =>
    Math.min(MAX_CONNECTIONS, Math.max(MIN_CONNECTIONS, Math.floor(bytes / RECEIVED_BYTES)));

/** Returns how many connections of callers may wait at a VM with this much memory; without a size, as many as with enough. */
export function connectionLevels(memoryMb: number | undefined): ConnectionLevels {
    const bytes = (memoryMb ?? Infinity) * BYTES_PER_MB;
    return { backlog: connectionsIn(BACKLOG_FRACTION * bytes), unread: connectionsIn(UNREAD_FRACTION * bytes) };
}
