import type { Clock, Millis, VmId } from "@azureshunt/core";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

import { createLeaseKeeper } from "../../fleet/createLeaseKeeper.js";
import { createUnansweredOrders } from "../../fleet/createUnansweredOrders.js";
import { orderFence } from "../../fleet/orderFence.js";
import type { StoreFailure } from "../../ports/StoreFailure.js";
import type { StorePage } from "../../ports/StorePage.js";
import type { StorePort } from "../../ports/StorePort.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { silentLogger } from "./silentLogger.js";
import { watchClocks } from "./watchClocks.js";

/** What the store does with one call. */
type CallFate = {
    /** `silent`: the caller gives up; `reset`: its connection is lost; `refused`: the call has no effect. */
    readonly answer: "given" | "silent" | "reset" | "refused";
    /** From the call until its effect, which may come after the caller gave up; `undefined` if it never comes. */
    readonly effectMs: Millis | undefined;
    /** From the effect to a given answer, or from the call to a reset or refusal. */
    readonly answerMs: Millis;
    /** How old the state is that a read returns. */
    readonly lagMs: Millis;
};

/** What happens to one VM for some time. */
type Disturbance = {
    /**
     * - `killed`: its process ends, and a new one starts when the time is over.
     * - `replaced`: a new process starts, and the old one ends when the time is over.
     * - `suspended`: it stands still together with its monotonic clock.
     * - `stopped`: it stands still, but its clocks advance.
     * - `cut`: it neither sends nor receives beacons.
     * - `refused`: the store refuses its calls.
     * - `idle`: it has no orders to issue.
     */
    readonly kind: "killed" | "replaced" | "suspended" | "stopped" | "cut" | "refused" | "idle";
    /** `undefined`: the VM that sent the last order before. */
    readonly vm: number | undefined;
    readonly at: Millis;
    readonly forMs: Millis;
};

type StoredRecord = { readonly holder: VmId; readonly storedAt: Millis; };

type LeaseRun = {
    readonly durationMs: Millis;
    /** Fates of the calls before `calmFrom`, in order and again from the first; later calls are answered promptly. */
    readonly fates: readonly CallFate[];
    readonly calmFrom: Millis;
    readonly disturbances: readonly Disturbance[];
    /** Delays of the beacons, in order and again from the first; `undefined` if a beacon is lost. */
    readonly beaconDelays: readonly (Millis | undefined)[];
    /** How many VMs may claim before each VM, not counting the last holder. */
    readonly ranks: readonly number[];
    /** The store deletes records that are older. */
    readonly keepMs: Millis;
    /** Records of the topic at the start, from offset 0 on; their times are before 0. */
    readonly records: readonly StoredRecord[];
    /** Records that fit into one page of a read; all if omitted. */
    readonly pageRecords?: number;
};

type SentOrder = { readonly at: Millis; readonly vm: VmId; readonly start: number; readonly fence: number; };

type LeaseResult = {
    /** All orders in the order in which they were sent; `start` numbers the process that sent it. */
    readonly sent: readonly SentOrder[];
    /** Records of the topic at the end, those deleted included. */
    readonly records: number;
    /** Processes that were started. */
    readonly starts: number;
    /** Appends that took effect after their caller had given up, or had ended. */
    readonly lateAppends: number;
    /** Reads that were answered with the offset of the oldest retained record. */
    readonly expiredReads: number;
    /** Appends that were refused as the topic did not end at their offset. */
    readonly movedAppends: number;
};

type Process = {
    readonly vm: number;
    readonly start: number;
    readonly clock: Clock;
    readonly keeper: ReturnType<typeof createLeaseKeeper>;
    readonly check: () => void;
    /** What arrived while it stood still. */
    readonly inbox: (() => void)[];
    isAlive: boolean;
};

const LEASE_MS: Millis = 3_000;
const VMS = ["a", "b", "c"] as VmId[];
const STEP_MS: Millis = 25;
const TICK_MS: Millis = 100;
const BEACON_MS: Millis = 200;
/** Time after which the store's client gives a call up. */
const CALL_TIMEOUT_MS: Millis = 900;
const PROMPT: CallFate = { answer: "given", effectMs: 5, answerMs: 5, lagMs: 0 };

/**
 * Runs the lease keepers of three VMs against a simulated topic in virtual time. Each process sends orders whenever it
 * may. Nothing of an ended process is sent any more, but its calls may still take effect in the store.
 */
export async function simulateLease(run: LeaseRun): Promise<LeaseResult> {
    const { clock: wall, schedule, runUntil } = createVirtualTime();
    const stored: { readonly value: Buffer; readonly storedAt: Millis; }[] = run.records.map((
        { holder, storedAt },
    ) => ({ value: Buffer.from(holder), storedAt }));
    const counts = { calls: 0, beacons: 0, starts: 0, lateAppends: 0, expiredReads: 0, movedAppends: 0 };
    const sent: SentOrder[] = [];
    const lostMs = VMS.map(() => 0);
    const processes: Process[] = [];
    const answers = { isAnyNew: false };

    /** Lets the callers continue whose calls were answered. */
    const settle = async (): Promise<void> => {
        if (answers.isAnyNew) {
            answers.isAnyNew = false;
            await new Promise(setImmediate);
        }
    };

    /** The VM of each disturbance that has begun. */
    const targets = new Map<Disturbance, number>();
    run.disturbances.forEach(each =>
        schedule(each.at, () => {
            targets.set(each, each.vm ?? VMS.findIndex(vm => vm === sent.at(-1)?.vm));
        })
    );
    const isDisturbed = (kinds: readonly Disturbance["kind"][], vm: number, at: Millis): boolean =>
        run.disturbances.some(each =>
            targets.get(each) === vm && kinds.includes(each.kind) && at >= each.at && at < each.at + each.forMs
        );
    const isHalted = (vm: number): boolean => isDisturbed(["suspended", "stopped"], vm, wall.now());
    const isWanted = (vm: number): boolean => !isDisturbed(["idle"], vm, wall.now());

    const deliver = (to: Process, act: () => void): void => {
        if (!to.isAlive) {
            return;
        }
        if (isHalted(to.vm) || to.inbox.length > 0) {
            to.inbox.push(act);
            return;
        }
        act();
    };

    const endAt = (at: Millis): number => stored.filter(({ storedAt }) => storedAt <= at).length;
    const firstAt = (at: Millis): number => stored.filter(({ storedAt }) => storedAt <= at - run.keepMs).length;
    const readAt = (from: number, at: Millis): Either<StoreFailure, StorePage> => {
        const [first, end] = [firstAt(at), endAt(at)];
        if (from < first) {
            counts.expiredReads++;
            return Left({ kind: "expired", first });
        }
        const records = stored.slice(from, Math.min(end, from + (run.pageRecords ?? Infinity))).map(({ value }, i) => ({
            offset: from + i,
            key: "",
            value,
        }));
        return Right({ records, end });
    };
    const append = (value: Buffer, at: number): Either<StoreFailure, number> => {
        if (at !== stored.length) {
            counts.movedAppends++;
            return Left({ kind: "moved" });
        }
        stored.push({ value, storedAt: wall.now() });
        return Right(at);
    };

    const call = <Result>(
        from: () => Process,
        takeEffect: (fate: CallFate) => Either<StoreFailure, Result>,
    ): Promise<Either<StoreFailure, Result>> => {
        const fate = wall.now() >= run.calmFrom ? PROMPT : run.fates[counts.calls++ % run.fates.length] ?? PROMPT;
        const caller = from();
        const requestedAt = caller.clock.now();
        return new Promise(continueWith => {
            const resolve = (result: Either<StoreFailure, Result>): void => {
                answers.isAnyNew = true;
                continueWith(result);
            };
            const answerLater = (delayMs: Millis, result: Either<StoreFailure, Result>): void => {
                schedule(delayMs, () => deliver(caller, () => resolve(result)));
            };
            const giveUp = (): void => {
                const leftMs = CALL_TIMEOUT_MS - (caller.clock.now() - requestedAt);
                if (leftMs > 0) {
                    schedule(Math.max(leftMs, STEP_MS), () => deliver(caller, giveUp));
                    return;
                }
                resolve(Left({ kind: "lost" }));
            };
            schedule(CALL_TIMEOUT_MS, () => deliver(caller, giveUp));
            if (fate.answer === "refused" || isDisturbed(["refused"], caller.vm, wall.now())) {
                answerLater(fate.answerMs, Left({ kind: "unreachable" }));
                return;
            }
            if (fate.answer === "reset") {
                answerLater(fate.answerMs, Left({ kind: "lost" }));
            }
            if (fate.effectMs === undefined) {
                return;
            }
            const sentAt = wall.now();
            schedule(fate.effectMs, () => {
                const before = stored.length;
                const result = takeEffect(fate);
                const isLate = !caller.isAlive || wall.now() - sentAt > CALL_TIMEOUT_MS;
                counts.lateAppends += isLate ? stored.length - before : 0;
                if (fate.answer === "given") {
                    answerLater(fate.answerMs, result);
                }
            });
        });
    };
    const storeOf = (from: () => Process): StorePort => {
        const unused = (): never => {
            throw new Error("not used by the order lease");
        };
        return {
            newest: unused,
            put: unused,
            read: (_topic, first) => call(from, ({ lagMs }) => readAt(first, wall.now() - lagMs)),
            appendAt: (_topic, at, value) => call(from, () => append(value, at)),
        };
    };

    const issueOrders = ({ vm, start, clock, keeper, check }: Process): void => {
        if (!isWanted(vm)) {
            return;
        }
        check();
        const fence = orderFence(keeper.current(), clock.now());
        if (fence !== undefined) {
            sent.push({ at: wall.now(), vm: VMS[vm] as VmId, start, fence });
        }
    };
    const start = (vm: number): void => {
        const name = VMS[vm] as VmId;
        const clock: Clock = { now: () => wall.now() - (lostMs[vm] ?? 0), epoch: wall.now };
        const check = watchClocks(clock, () => keeper.apply({ kind: "suspended" }));
        const keeper = createLeaseKeeper({
            clock,
            vm: name,
            store: storeOf(() => process),
            logger: silentLogger,
            checkSuspension: check,
            leaseMs: () => LEASE_MS,
            orderable: () => [],
            unanswered: createUnansweredOrders(clock),
            targets: () => [],
            onTargets: () => undefined,
            onAppended: () => issueOrders(process),
        });
        const process: Process = {
            vm,
            start: counts.starts++,
            clock,
            keeper,
            check,
            inbox: [],
            isAlive: true,
        };
        processes.push(process);
    };
    const end = (process: Process): void => {
        process.isAlive = false;
    };
    const running = (vm?: number): readonly Process[] =>
        processes.filter(each => each.isAlive && (vm === undefined || each.vm === vm));

    const tick = (process: Process): void => {
        const { vm, keeper } = process;
        process.check();
        const holder = keeper.current().tail?.holder;
        const rank = holder === VMS[vm] ? 0 : (holder === undefined ? 0 : 1) + (run.ranks[vm] ?? 0);
        keeper.apply({ kind: "tick", isWanted: isWanted(vm), rank });
        issueOrders(process);
    };
    const sendBeacons = (from: Process): void => {
        from.check();
        const { tail } = from.keeper.current();
        if (tail === undefined || isDisturbed(["cut"], from.vm, wall.now())) {
            return;
        }
        const { offset, holder } = tail;
        const sentAge = from.clock.now() - tail.knownSince;
        running().filter(({ vm }) => vm !== from.vm).forEach(to => {
            const delayMs = run.beaconDelays[counts.beacons++ % run.beaconDelays.length];
            if (delayMs === undefined || isDisturbed(["cut"], to.vm, wall.now())) {
                return;
            }
            schedule(delayMs, () =>
                deliver(to, () => {
                    to.check();
                    to.keeper.apply({ kind: "peer-record", offset, holder, ageMs: Math.max(0, sentAge - delayMs) });
                }));
        });
    };

    const disturb = (each: Disturbance): void => {
        const vm = targets.get(each);
        if (vm === undefined || VMS[vm] === undefined) {
            return;
        }
        const old = running(vm);
        if (each.kind === "killed") {
            old.forEach(end);
            // The process may have been started already by another disturbance that ended.
            schedule(each.forMs, () => running(vm).length === 0 ? start(vm) : undefined);
        }
        if (each.kind === "replaced") {
            start(vm);
            schedule(each.forMs, () => old.forEach(end));
        }
    };
    run.disturbances.forEach(each => schedule(each.at, () => disturb(each)));
    VMS.forEach((_, vm) => start(vm));

    const steps = Array.from({ length: Math.ceil(run.durationMs / STEP_MS) }, (_, step) => step * STEP_MS);
    const step = async (at: Millis): Promise<void> => {
        VMS.forEach((_, vm) => {
            if (at > 0 && isDisturbed(["suspended"], vm, at - STEP_MS)) {
                lostMs[vm] = (lostMs[vm] ?? 0) + STEP_MS;
            }
        });
        // Advances the clock to this step even if nothing else is due.
        schedule(at - wall.now(), () => undefined);
        runUntil(at);
        await settle();
        running().filter(({ vm, inbox }) => !isHalted(vm) && inbox.length > 0).forEach(process => {
            // After a halt, timers may run before or after what arrived meanwhile.
            if (process.start % 2 === 0) {
                tick(process);
            }
            process.inbox.splice(0).forEach(act => act());
        });
        await settle();
        running().filter(({ vm }) => !isHalted(vm)).forEach(process => {
            // The ticks of the VMs are a step apart.
            if ((at + process.vm * STEP_MS) % TICK_MS === 0) {
                tick(process);
            }
            if ((at + process.vm * STEP_MS) % BEACON_MS === 0) {
                sendBeacons(process);
            }
        });
    };
    await steps.reduce((before, at) => before.then(() => step(at)), Promise.resolve());
    const { starts, lateAppends, expiredReads, movedAppends } = counts;
    return { sent, records: stored.length, starts, lateAppends, expiredReads, movedAppends };
}
