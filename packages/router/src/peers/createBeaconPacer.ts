import type { Clock, Millis } from "@azureshunt/core";

type PacerParts<Target> = {
    readonly clock: Clock;
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Who gets a beacon in the round that begins now. */
    readonly targets: () => readonly Target[];
    readonly onRound: () => void;
    readonly send: (batch: readonly Target[]) => void;
    /** Time from the beginning of one round to that of the next. */
    readonly intervalMs: () => Millis;
};

/** Decides when which VMs get a beacon. */
type BeaconPacer = { readonly stop: () => void; };

/** Targets to which beacons go out at one moment; with few VMs, these are all of them. */
const BATCH_SIZE = 8;
/** Minimum time between two rounds. */
const MIN_GAP_MS: Millis = 40;

/**
 * Spreads the beacons that a VM sends over time.
 *
 * With dozens of targets, a round that is sent at one moment fills the link of a small VM for a tenth of a second.
 * Answers to callers are delayed, and connections that are opened meanwhile time out, so that endpoints seem
 * unreachable. Symptom: many tries that end `unreached` at the same time. To prevent this, a round goes out in small
 * batches.
 */
export function createBeaconPacer<Target>(parts: PacerParts<Target>): BeaconPacer {
    const { clock, schedule } = parts;
    const round = {
        pending: [] as readonly Target[],
        batches: 1,
        gapMs: 0 as Millis,
        startedAt: -Infinity as Millis,
        cancel: (): void => undefined,
    };

    const begin = (): void => {
        parts.onRound();
        round.pending = parts.targets();
        round.startedAt = clock.now();
        round.batches = Math.max(1, Math.ceil(round.pending.length / BATCH_SIZE));
        round.gapMs = parts.intervalMs() / round.batches;
        step();
    };
    /**
     * Returns the time until the next round. If a round takes several batches, all VMs begin theirs at the same
     * moments, so that a VM that wakes to send its own beacons receives several at the same time.
     */
    const untilNextMs = (): Millis => {
        const intervalMs = parts.intervalMs();
        if (round.batches === 1) {
            return Math.max(MIN_GAP_MS, round.startedAt + intervalMs - clock.now());
        }
        const untilStartMs = intervalMs - clock.epoch() % intervalMs;
        return untilStartMs < MIN_GAP_MS ? untilStartMs + intervalMs : untilStartMs;
    };
    const step = (): void => {
        const batch = round.pending.slice(0, BATCH_SIZE);
        round.pending = round.pending.slice(BATCH_SIZE);
        parts.send(batch);
        if (round.pending.length > 0) {
            const sent = round.batches - Math.ceil(round.pending.length / BATCH_SIZE);
            round.cancel = schedule(Math.max(0, round.startedAt + sent * round.gapMs - clock.now()), step);
            return;
        }
        round.cancel = schedule(untilNextMs(), begin);
    };
    begin();
    return { stop: () => round.cancel() };
}
