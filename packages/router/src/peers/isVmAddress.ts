import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;

/** Returns whether a text is an address to which Node sends: `host:port` with an IP number. */
export function isVmAddress(text: unknown): text is string {
    const [host = "", port = "", ...rest] = typeof text === "string" ? text.split(":") : [];
    return rest.length === 0 && isIPv4(host) && /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= MAX_PORT;
}
