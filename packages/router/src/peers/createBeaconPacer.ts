import type { Clock, Millis } from "@azureshunt/core";

type PacerParts<Target> = {
    readonly clock: Clock;
    readonly later: (delayMs: Millis, run: () => void) => () => void;
    /** Who is told in a round that begins now. */
    readonly targets: () => readonly Target[];
    /** A round begins; `isCut` says that the one before it has not reached all its targets. */
    readonly onRound: (isCut: boolean) => void;
    readonly tell: (batch: readonly Target[]) => void;
    /** From the beginning of one round to that of the next. */
    readonly intervalMs: () => Millis;
};

/** Decides when which VMs are told. */
type BeaconPacer = {
    /** Begins a round that goes faster than usual, as there is something that the others should hear soon. */
    readonly hurry: () => void;
    readonly stop: () => void;
};

/** Datagrams that go out at one moment: as many as there are peers where VMs are few. */
const BATCH = 8;
/** Between two batches of a hurried round: three of them in a tenth of a second take less than a quarter of a small link. */
const HURRY_GAP_MS: Millis = 40;

/**
 * Spreads what a VM tells the others over time.
 *
 * Failure: with dozens of VMs, a round that is sent at one moment fills the link of a small VM for a tenth of a second, and
 * one round for each order of a wave fills any link for a second. Answers to callers wait behind it and come late, and
 * connections that are opened meanwhile are given up, so that endpoints seem unreachable. It shows as bytes sent by the
 * VM that gives orders, and as tries that end `unreached` all at once. Guard: a round goes out in small batches, a
 * hurried one in a third of a second at most for sixty VMs, and whatever happens during it is told by one more round.
 */
export function createBeaconPacer<Target>(parts: PacerParts<Target>): BeaconPacer {
    const { clock, later } = parts;
    const round = {
        pending: [] as readonly Target[],
        batches: 1,
        gapMs: 0 as Millis,
        startedAt: -Infinity as Millis,
        /** When the last batch went out. */
        toldAt: -Infinity as Millis,
        isUnderWay: false,
        /** Of the round that is under way, or else of the next one. */
        isHurried: false,
        /** Something came up during a hurried round that those told already have not heard. */
        isOneMoreDue: false,
        cancel: (): void => undefined,
    };

    const begin = (): void => {
        parts.onRound(round.pending.length > 0);
        round.pending = parts.targets();
        round.startedAt = clock.now();
        round.isUnderWay = true;
        round.batches = Math.max(1, Math.ceil(round.pending.length / BATCH));
        round.gapMs = round.isHurried ? HURRY_GAP_MS : parts.intervalMs() / round.batches;
        step();
    };
    /**
     * Until the next round that is not hurried. Where a round takes several batches, VMs begin theirs at the same moments,
     * so that one finds several beacons when it wakes to send its own.
     */
    const untilNext = (): Millis => {
        const intervalMs = parts.intervalMs();
        if (round.batches === 1) {
            return Math.max(HURRY_GAP_MS, round.startedAt + intervalMs - clock.now());
        }
        const untilMomentMs = intervalMs - clock.epoch() % intervalMs;
        return untilMomentMs < HURRY_GAP_MS ? untilMomentMs + intervalMs : untilMomentMs;
    };
    const step = (): void => {
        const batch = round.pending.slice(0, BATCH);
        round.pending = round.pending.slice(BATCH);
        parts.tell(batch);
        round.toldAt = clock.now();
        if (round.pending.length > 0) {
            const sent = round.batches - Math.ceil(round.pending.length / BATCH);
            const dueMs = round.startedAt + sent * round.gapMs - clock.now();
            round.cancel = later(round.isHurried ? round.gapMs : Math.max(0, dueMs), step);
            return;
        }
        round.isUnderWay = false;
        round.isHurried = round.isOneMoreDue;
        round.isOneMoreDue = false;
        round.cancel = later(round.isHurried ? HURRY_GAP_MS : untilNext(), begin);
    };
    const hurry = (): void => {
        if (round.isHurried) {
            round.isOneMoreDue = round.isUnderWay;
            return;
        }
        round.cancel();
        round.isHurried = true;
        round.isUnderWay = false;
        // What else happens in this turn is told along with it.
        round.cancel = later(Math.max(0, round.toldAt + HURRY_GAP_MS - clock.now()), begin);
    };
    begin();
    return { hurry, stop: () => round.cancel() };
}
