import type { Clock, Millis, OrganisationId, Tokens } from "@azureshunt/core";

import { addedSpending } from "./addedSpending.js";
import { isExpired } from "./isExpired.js";
import type { Spender } from "./Spender.js";

/** What a relay sends of the spending of other VMs, in counters of its own. */
type RelayUpdate = {
    readonly spender: Spender;
    /** Identifies the relay's process. */
    readonly relay: string;
    /** The same in all datagrams of one update. */
    readonly sequence: number;
    readonly rows: readonly (readonly [OrganisationId, Tokens])[];
    /** Since when spending of these VMs has been assumed because they were silent; `undefined` if none was. */
    readonly assumedFrom: (organisation: OrganisationId) => Millis | undefined;
    /**
     * Whether the relay's process started after the organisation's allowance was opened here, and is at most 3 s old;
     * false if the allowance has not been opened.
     */
    readonly isStartedLater: (organisation: OrganisationId) => boolean;
};

/** Follows the counters of several relays that send the spending of the same VMs. */
type RelayCounters = {
    /**
     * Takes in a relay's update. One without rows only shows that the relay is alive.
     *
     * @returns the tokens it adds, by organisation; empty if the relay is not the followed one
     */
    readonly receiveUpdate: (update: RelayUpdate) => readonly (readonly [OrganisationId, Tokens])[];
    /** Takes a time in which this process did not run, while its clock went on, off the silence of the relays. */
    readonly onPaused: (ms: Millis) => void;
};

type Counter = {
    readonly receivedAt: Millis;
    readonly last: Tokens;
    /** Values of the counter at the last update of the followed relay, and at the one before. */
    readonly marks: readonly [last: Tokens, before: Tokens];
};
/** The relays that send the spending of the same VMs. */
type Group = {
    /** The relay whose counters are debited; `undefined` until the first update with rows. */
    followed: string | undefined;
    /** When the followed relay's last update was received; `-Infinity` until then. */
    receivedAt: Millis;
    /** Sequence number of that relay's last update with rows; -1 until then. */
    sequence: number;
    readonly relays: Map<string, Map<OrganisationId, Counter>>;
};

/** Relay processes remembered for one group; beyond that, the one added first is dropped, even if it is alive. */
const MAX_REMEMBERED_RELAYS = 8;

/**
 * Creates the counters of relays. Two relays send the spending of the same VMs, and each counts from its own start. One
 * of them is followed; when it becomes silent, the other continues from the value that its own counter had around the
 * last update of the first, so that nothing is left out and at most one round's spending counts twice.
 *
 * If the relay that becomes silent had missed a datagram that the other one received, the spending in it would never be
 * counted. To prevent this, the other one continues from its value of one round earlier: the first had received all of
 * that by its last update.
 *
 * @param silentMs silence after which the followed relay is replaced by another one
 */
export function createRelayCounters(clock: Clock, silentMs: () => Millis): RelayCounters {
    const groups = new Map<Spender, Group>();

    const mark = ({ relays }: Group): void =>
        relays.forEach(counters =>
            counters.forEach((counter, organisation) =>
                counters.set(organisation, { ...counter, marks: [counter.last, counter.marks[0]] })
            )
        );
    const remember = ({ relays }: Group, relay: string): Map<OrganisationId, Counter> => {
        const counters = relays.get(relay) ?? new Map<OrganisationId, Counter>();
        relays.set(relay, counters);
        [...relays.keys()].slice(0, -MAX_REMEMBERED_RELAYS).forEach(oldest => relays.delete(oldest));
        return counters;
    };
    const receiveUpdate: RelayCounters["receiveUpdate"] = (
        { spender, relay, sequence, rows, assumedFrom, isStartedLater },
    ) => {
        const group: Group = groups.get(spender)
            ?? { followed: undefined, receivedAt: -Infinity, sequence: -1, relays: new Map() };
        groups.set(spender, group);
        const now = clock.now();
        const isSame = group.followed === relay;
        if (rows.length === 0) {
            group.receivedAt = isSame ? now : group.receivedAt;
            return [];
        }
        const isFollowed = isSame || now - group.receivedAt > silentMs();
        const counters = remember(group, relay);
        const added = rows.map(([organisation, last]) => {
            const before = counters.get(organisation);
            const view = before && { assumedFrom: assumedFrom(organisation), receivedAt: before.receivedAt };
            const known = isExpired(view, now) ? undefined : before;
            counters.set(organisation, { receivedAt: now, last, marks: known?.marks ?? [last, last] });
            const isNew = known === undefined && isStartedLater(organisation);
            return [organisation, addedSpending(isSame ? known?.last : known?.marks[1], last, isNew)] as const;
        });
        if (isFollowed) {
            if (!isSame || group.sequence !== sequence) {
                mark(group);
            }
            group.followed = relay;
            group.sequence = sequence;
            group.receivedAt = now;
        }
        return isFollowed ? added : [];
    };
    const onPaused: RelayCounters["onPaused"] = ms => {
        const later = (at: Millis): Millis => Math.min(clock.now(), at + ms);
        groups.forEach(group => {
            group.receivedAt = later(group.receivedAt);
            group.relays.forEach(counters =>
                counters.forEach((counter, organisation) =>
                    counters.set(organisation, { ...counter, receivedAt: later(counter.receivedAt) })
                )
            );
        });
    };
    return { receiveUpdate, onPaused };
}
