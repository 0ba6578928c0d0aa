import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import { boundAt, endpointLevels, lowerBound, unreadByAll } from "@azureshunt/flow";
import type { EndpointBound } from "@azureshunt/flow";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { createRecentPeaks } from "./createRecentPeaks.js";

type UnreadParts = {
    readonly clock: Pick<Clock, "now">;
    readonly entryOf: (endpoint: EndpointName) => Pick<EndpointEntry, "address"> | undefined;
    /** Unread bytes that the other VMs have sent to an endpoint, as they last reported them. */
    readonly othersAt: (endpoint: EndpointName) => number;
    /** Whether any VM has reported unread bytes lately; asked for each endpoint of each request. */
    readonly hasOthers: () => boolean;
    /** Number of live VMs, including this one, and of those that are silent. */
    readonly vms: () => { readonly vms: number; readonly silentVms: number; };
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** What endpoints have not read yet of the requests that VMs have sent them. */
type UnreadBodies = {
    /** Records a body that is being sent; returns a function to call once, when the system has taken it or the call ended. */
    readonly begin: (address: string, bytes: number) => () => void;
    /** Whether an endpoint reads so slowly that it gets nothing more. */
    readonly isSlowReader: (entry: Pick<EndpointEntry, "name" | "address">) => boolean;
    /** Bytes that this VM has sent to an endpoint and that are not on their way any more. */
    readonly stalledBytes: (endpoint: EndpointName) => number;
    /**
     * Records that an endpoint has died, from this VM's own check or a peer's; each death counts once.
     *
     * @param death name of the endpoint and start of its incarnation, with a slash between them
     */
    readonly recordDeath: (death: string) => void;
    readonly heldBytes: () => number;
};

type Unread = { bytes: number; since: Millis; };

/** Longer than beacons repeat a death, and than calls to a dead endpoint take to end. */
const DEATH_KEPT_MS: Millis = 60_000;
/** Bodies that an endpoint has not read for this long are not on their way any more. */
const SLOW_MS: Millis = 250;

/**
 * Counts the bodies that endpoints have not read yet, by endpoint. Bodies that the system takes at once do not show.
 *
 * Many VMs send to one endpoint, and each of them sees its own bodies only. To prevent that they exceed the endpoint's
 * memory together, each reports what is unread, and the sum decides.
 */
export function createUnreadBodies(parts: UnreadParts): UnreadBodies {
    const { clock, entryOf, logger, metrics } = parts;
    const unread = new Map<string, Unread>();
    /** By address, as an endpoint usually has another name after a restart. */
    const bounds = new Map<string, EndpointBound>();
    /** When each recent death was counted: beacons repeat it, also after the endpoint has started again. */
    const deaths = new Map<string, Millis>();
    const slow = new Set<string>();
    const own = createRecentPeaks(clock);
    const others = createRecentPeaks(clock);

    const ownAt = (address: string): number => {
        const pending = unread.get(address);
        return pending !== undefined && clock.now() - pending.since > SLOW_MS ? pending.bytes : 0;
    };
    const othersAt = (name: EndpointName): number => parts.hasOthers() ? parts.othersAt(name) : 0;
    // The VMs are counted only if it matters, as that costs as much as all else.
    const sumOf = (ownBytes: number, othersBytes: number): number =>
        ownBytes === 0 ? othersBytes : unreadByAll({ ownBytes, othersBytes, ...parts.vms() });
    const recordDeath: UnreadBodies["recordDeath"] = death => {
        const name = death.slice(0, death.lastIndexOf("/")) as EndpointName;
        const address = entryOf(name)?.address;
        if (address === undefined || deaths.has(death)) {
            return;
        }
        const now = clock.now();
        [...deaths].filter(([, at]) => now - at > DEATH_KEPT_MS).forEach(([each]) => deaths.delete(each));
        deaths.set(death, now);
        const unreadBytes = sumOf(own.record(address, ownAt(address)), others.record(address, othersAt(name)));
        [own, others].forEach(each => each.forget(address));
        const before = bounds.get(address);
        const bound = lowerBound(before, unreadBytes, now);
        if (bound === undefined || bound === before) {
            return;
        }
        [...bounds]
            .filter(([, known]) => boundAt(known, now) === endpointLevels.initialBytes)
            .forEach(([known]) => bounds.delete(known));
        bounds.set(address, bound);
        metrics.count(
            "azureshunt_endpoint_bounds_lowered_total",
            "Endpoints that died with unread bodies, and get fewer of them at a time.",
        );
        logger.warn(
            { endpoint: name, address, unreadBytes, boundBytes: bound.bytes },
            "An endpoint died with unread bodies; the bound on them was lowered.",
        );
    };
    return {
        begin: (address, bytes) => {
            const pending = unread.get(address) ?? { bytes: 0, since: clock.now() };
            pending.bytes += bytes;
            unread.set(address, pending);
            return () => {
                // At a death the calls end before it is known as one.
                own.record(address, ownAt(address));
                pending.bytes -= bytes;
                pending.since = clock.now();
                if (pending.bytes === 0) {
                    unread.delete(address);
                }
            };
        },
        isSlowReader: ({ name, address }) => {
            const ownBytes = ownAt(address);
            const othersBytes = othersAt(name);
            others.record(address, othersBytes);
            const unreadBytes = sumOf(ownBytes, othersBytes);
            const boundBytes = unreadBytes === 0 ? Infinity : boundAt(bounds.get(address), clock.now());
            const isSlow = unreadBytes > boundBytes;
            if (isSlow && !slow.has(address)) {
                slow.add(address);
                metrics.count(
                    "azureshunt_slow_endpoints_total",
                    "Times that an endpoint began to get no requests as it read too slowly.",
                );
                logger.info(
                    { endpoint: name, ownBytes, unreadBytes, boundBytes },
                    "An endpoint reads too slowly and gets no requests.",
                );
            }
            else if (!isSlow && slow.delete(address)) {
                logger.info(
                    { endpoint: name, ownBytes, unreadBytes },
                    "An endpoint that read too slowly gets requests again.",
                );
            }
            return isSlow;
        },
        stalledBytes: endpoint => {
            const address = unread.size === 0 ? undefined : entryOf(endpoint)?.address;
            return address === undefined ? 0 : ownAt(address);
        },
        recordDeath,
        heldBytes: () => [...unread.values()].reduce((sum, { bytes }) => sum + bytes, 0),
    };
}
