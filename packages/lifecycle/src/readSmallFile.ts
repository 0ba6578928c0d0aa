import { closeSync, constants, fstatSync, openSync, readSync } from "node:fs";

/** Settings take a few kilobytes. Parsing holds up all requests: for a second with 32 KB of the worst kind, and more than linearly. */
const MAX_BYTES = 32 * 1_024;

/** Reads up to one byte more than may be, as a file may grow meanwhile. */
const readBytes = (descriptor: number, buffer: Buffer, length = 0): number => {
    const count = readSync(descriptor, buffer, length, buffer.length - length, null);
    return count === 0 || length + count === buffer.length
        ? length + count
        : readBytes(descriptor, buffer, length + count);
};

/**
 * Reads a text file whole, within a bound on the time that this takes: an open of a named pipe waits for its writer, and a
 * device may have no end.
 *
 * @throws Error with one line if it cannot be read, is no regular file, or is larger than 32 KB
 */
export function readSmallFile(path: string): string {
    const descriptor = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
    try {
        if (!fstatSync(descriptor).isFile()) {
            throw new Error("is not a regular file");
        }
        const buffer = Buffer.allocUnsafe(MAX_BYTES + 1);
        const length = readBytes(descriptor, buffer);
        if (length > MAX_BYTES) {
            throw new Error(`is larger than ${MAX_BYTES} bytes`);
        }
        return buffer.toString("utf8", 0, length);
    }
    finally {
        closeSync(descriptor);
    }
}
