import type { Beacon } from "./Beacon.js";

/** Version of the datagrams' format; VMs skip formats that they do not know. */
const FORMAT = 1;

/** Encodes a beacon as one datagram: a JSON array, since field names would be half of it. */
export function encodeBeacon(beacon: Beacon): Buffer {
    const { echo, lease } = beacon;
    return Buffer.from(JSON.stringify([
        FORMAT,
        beacon.vm,
        beacon.incarnation,
        beacon.failureDomain,
        beacon.sequence,
        beacon.sentAt,
        echo === undefined ? null : [echo.incarnation, echo.sentAt, echo.heldMs],
        beacon.members,
        beacon.revision,
        beacon.confirmedMs ?? null,
        beacon.weights,
        beacon.spent,
        beacon.load.map(([name, share]) => [name, share.running, share.waitingTokens, share.memoryTokens]),
        beacon.ordered,
        beacon.held,
        lease === undefined ? null : [lease.offset, lease.holder, lease.ageMs],
        beacon.hasStore,
        beacon.isLeaving,
        beacon.demand,
        beacon.cached.map(([holder, parts]) => [holder, parts.map(({ key }) => key)]),
        beacon.deaths,
        beacon.stopped,
        beacon.cached.map(([, parts]) => parts.map(({ tokens }) => tokens)),
        beacon.registry === undefined ? null : [beacon.registry.digest, beacon.registry.ageMs],
        beacon.upMs,
    ]));
}
