import { closeSync, openSync, readSync } from "node:fs";
import type { Server } from "node:net";

/** The system's table of sockets, those that listen first. */
const SOCKETS = "/proc/net/tcp";
const LISTENING = "0A";
const READ_BYTES = 16 * 1024;

const hexOf = (value: number, digits: number): string => value.toString(16).toUpperCase().padStart(digits, "0");
/** The address as the table has it: the bytes of its host in the order of the machine. */
const localOf = (host: string, port: number): string =>
    `${host.split(".").reverse().map(byte => hexOf(Number(byte), 2)).join("")}:${hexOf(port, 4)}`;

const findQueue = (file: number, local: string): number | undefined => {
    const bytes = Buffer.alloc(READ_BYTES);
    const unread = { line: "" };
    for (let count = readSync(file, bytes); count > 0; count = readSync(file, bytes)) {
        const lines = (unread.line + bytes.toString("latin1", 0, count)).split("\n");
        unread.line = lines.pop() ?? "";
        const rows = lines.map(line => line.trim().split(/\s+/)).filter(([, , , state]) => state !== "st");
        const row = rows.find(([, address, , state]) => address === local && state === LISTENING);
        if (row !== undefined) {
            return parseInt(row[4]?.split(":")[1] ?? "", 16);
        }
        if (rows.some(([, , , state]) => state !== LISTENING)) {
            return undefined;
        }
    }
    return undefined;
};

/** Returns how many connections to a listener wait in the system's queue; `undefined` if the system does not tell. */
export function queuedConnections(server: Pick<Server, "address">): number | undefined {
    const address = server.address();
    if (address === null || typeof address === "string" || address.family !== "IPv4") {
        return undefined;
    }
    try {
        const file = openSync(SOCKETS, "r");
        try {
            return findQueue(file, localOf(address.address, address.port));
        }
        finally {
            closeSync(file);
        }
    }
    catch {
        return undefined;
    }
}
