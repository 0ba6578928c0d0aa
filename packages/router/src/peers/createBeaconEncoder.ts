import type { Beacon } from "./Beacon.js";
import { BEACON_FORMAT } from "./BEACON_FORMAT.js";

/** What differs between the beacons of one batch. */
type PerTarget = Pick<Beacon, "sequence" | "sentAt" | "echo">;

const withoutFirst = (json: string): string => json.slice(1);
const withoutLast = (json: string): string => json.slice(0, -1);

/**
 * Encodes beacons as datagrams: a JSON array each, since field names would be half of it. What they have in common is
 * encoded once, as dozens of VMs are told the same.
 */
export function createBeaconEncoder(common: Omit<Beacon, keyof PerTarget>): (own: PerTarget) => Buffer {
    const { lease } = common;
    const head = withoutLast(JSON.stringify([BEACON_FORMAT, common.vm, common.incarnation, common.failureDomain]));
    const tail = withoutFirst(JSON.stringify([
        common.members,
        common.revision,
        common.confirmedMs ?? null,
        common.weights,
        common.spent,
        common.load.map(([name, share]) => [name, share.running, share.waitingTokens, share.memoryTokens]),
        common.ordered,
        common.held,
        lease === undefined ? null : [lease.offset, lease.holder, lease.ageMs],
        common.hasStore,
        common.isLeaving,
        common.demand,
        common.cached.map(([holder, parts]) => [holder, parts.map(({ key }) => key)]),
        common.deaths,
        common.stopped,
        common.cached.map(([, parts]) => parts.map(({ tokens }) => tokens)),
        common.registry === undefined ? null : [common.registry.digest, common.registry.ageMs],
        common.upMs,
    ]));
    return ({ sequence, sentAt, echo }) => {
        const own = withoutFirst(withoutLast(JSON.stringify([
            sequence,
            sentAt,
            echo === undefined ? null : [echo.incarnation, echo.sentAt, echo.heldMs],
        ])));
        return Buffer.from(`${head},${own},${tail}`);
    };
}
