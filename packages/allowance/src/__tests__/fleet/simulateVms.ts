import { FailureDomain, Incarnation, OrganisationId, VmId } from "@azureshunt/core";
import type { MembershipEffect, MembershipEvent, MembershipRecord } from "@azureshunt/membership";
import { confirmedAge, homeOf, openMembership, servesFrom, stepMembership } from "@azureshunt/membership";

import type { AllowanceEffect } from "../../AllowanceEffect.js";
import type { AllowanceEvent } from "../../AllowanceEvent.js";
import { openAllowance } from "../../openAllowance.js";
import { outlookOf } from "../../outlookOf.js";
import { shareOf } from "../../shareOf.js";
import { stepAllowance } from "../../stepAllowance.js";
import { timing } from "../../timing.js";
import { createScheduler } from "./createScheduler.js";
import { randomFrom } from "./randomFrom.js";
import type { SimulatedVm } from "./SimulatedVm.js";
import type { SimulationOptions } from "./SimulationOptions.js";
import type { SimulationOutcome } from "./SimulationOutcome.js";
import type { Spend } from "./Spend.js";

const ORGANISATION = OrganisationId.parse("acme");
const DOMAINS = ["north", "south", "west"].map(name => FailureDomain.parse(name));
const VMS_PER_DOMAIN = 2;
const MIN_CLOCK_RATE = 0.96;
const TICK_MS = 100;
const READ_MS = 40;
const LIST_MS = 300;
const LIST_LAG_MS = 600;
const FLOOD_MS = 1_000;
const TRICKLE_FRACTION = 0.05;
const LATE_MS = 5_000;
/** `freeze`: the VM is suspended, is dropped from the list meanwhile, and resumes nevertheless. */
const FAULTS = ["restart", "restart", "replace", "suspend", "freeze", "cut", "cut"] as const;

/** Simulates one organisation on six VMs in three failure domains, as plain function calls from one scheduler. */
export function simulateVms(options: SimulationOptions): SimulationOutcome {
    const random = randomFrom(options.seed);
    const scheduler = createScheduler();
    const limits = { rate: options.rate, burst: options.burst };
    const spends: Spend[] = [];
    const refusals: (Spend & { readonly reason: string; readonly waitedMs: number; })[] = [];
    const faults: string[] = [];
    const faultChance = options.messageFaults ?? 0;
    const counters = { messages: 0, unanswered: 0, request: 0 };
    const log: { readonly record: MembershipRecord; readonly at: number; }[] = [];
    const listChanges: { readonly at: number; readonly vm: VmId; readonly present: boolean; }[] = [];
    const cutUntil = new Map<FailureDomain, number>();

    const clockOf = (vm: SimulatedVm): number => scheduler.now() * vm.clockRate;
    const runOf = (vm: SimulatedVm): Incarnation => Incarnation.parse(`${vm.vm}-${vm.process}`);
    const recordOf = (vm: SimulatedVm): MembershipRecord => ({
        kind: "join",
        vm: vm.vm,
        run: runOf(vm),
        failureDomain: vm.domain,
        peer: "",
        admin: "",
    });
    const isCut = (domain: FailureDomain): boolean => (cutUntil.get(domain) ?? 0) > scheduler.now();

    /**
     * Runs an action on a VM's process: after its suspension if it is suspended, not at all if the process has ended.
     */
    const onProcess = (vm: SimulatedVm, process: number, time: number, action: () => void): void =>
        scheduler.at(time, () => {
            if (process === 0 || vm.process !== process) {
                return;
            }
            if (vm.suspendedUntil > scheduler.now()) {
                onProcess(vm, process, vm.suspendedUntil, action);
                return;
            }
            action();
        });

    /** Delivers a message. It may be lost, late or repeated, and is always lost if either failure domain is cut off. */
    const send = (from: SimulatedVm, to: SimulatedVm, deliver: () => void): void => {
        counters.messages++;
        const cut = from.domain !== to.domain && (isCut(from.domain) || isCut(to.domain));
        if (cut || (random() < faultChance)) {
            return;
        }
        const delay = 0.5 + (options.lagMs ?? 0) + random() + (random() < faultChance ? random() * LATE_MS : 0);
        onProcess(to, to.process, scheduler.now() + delay, deliver);
        if (random() < faultChance) {
            onProcess(to, to.process, scheduler.now() + delay + random() * LATE_MS, deliver);
        }
    };

    const placedEvent = (vm: SimulatedVm): AllowanceEvent => {
        const members = [...vm.membership.members.values()];
        const homes = DOMAINS.flatMap(domain => {
            const home = homeOf(members, ORGANISATION, domain);
            return home === undefined ? [] : [{ domain, vm: home, limits: shareOf(limits, domain, DOMAINS) }];
        });
        return { kind: "placed", limits, homes, servesFrom: servesFrom(vm.membership, ORGANISATION, clockOf(vm)) };
    };

    const apply = (vm: SimulatedVm, event: AllowanceEvent): void => {
        const step = stepAllowance(vm.allowance, event, clockOf(vm));
        vm.allowance = step.state;
        step.effects.forEach(effect => perform(vm, effect));
    };

    const scheduleSettle = (
        vm: SimulatedVm,
        tokens: number,
        parts: Extract<AllowanceEffect, { kind: "admit"; }>["parts"],
    ) => {
        const used = Math.ceil(tokens * (options.minUsedFraction + random() * (1 - options.minUsedFraction)));
        spends.push({ at: scheduler.now(), tokens: used });
        onProcess(vm, vm.process, scheduler.now() + random() * 3_000, () => apply(vm, { kind: "settle", parts, used }));
    };

    const ask = (vm: SimulatedVm, effect: Extract<AllowanceEffect, { kind: "ask"; }>): void => {
        const to = vms.find(other => other.vm === effect.to)!;
        const { seq } = effect.ask;
        const process = vm.process;
        send(vm, to, () => apply(to, { kind: "ask", from: vm.vm, ask: effect.ask }));
        onProcess(
            vm,
            process,
            scheduler.now() + timing.askTimeoutMs,
            () => apply(vm, { kind: "unanswered", from: to.vm, seq }),
        );
    };

    /** Keeps one timer per VM, as the daemon does. */
    const wake = (vm: SimulatedVm, time: number): void => {
        if (vm.wakesAt > scheduler.now() && vm.wakesAt <= time) {
            return;
        }
        vm.wakesAt = time;
        onProcess(vm, vm.process, time, () => apply(vm, { kind: "tick" }));
    };

    const perform = (vm: SimulatedVm, effect: AllowanceEffect): void => {
        const to = "to" in effect ? vms.find(other => other.vm === effect.to)! : vm;
        switch (effect.kind) {
            case "admit": {
                const waiting = vm.waiting.get(effect.id)!;
                vm.waiting.delete(effect.id);
                scheduleSettle(vm, waiting.tokens, effect.parts);
                return;
            }
            case "refuse": {
                const { tokens, since } = vm.waiting.get(effect.id)!;
                vm.waiting.delete(effect.id);
                const at = scheduler.now();
                refusals.push({ at, tokens, reason: effect.reason, waitedMs: at - since });
                return;
            }
            case "ask":
                return ask(vm, effect);
            case "answer":
                return send(vm, to, () => apply(to, { kind: "answer", from: vm.vm, answer: effect.answer }));
            case "recall":
                return send(vm, to, () => apply(to, { kind: "recall", from: vm.vm, waitedMs: effect.waitedMs }));
            case "hand-over":
                return send(vm, to, () => apply(to, { kind: "handed", bucket: effect.bucket }));
            case "wake":
                return wake(vm, effect.at / vm.clockRate);
            case "decline":
                return send(vm, to, () => apply(to, { kind: "declined", from: vm.vm, seq: effect.seq }));
        }
    };

    const applyMembership = (vm: SimulatedVm, event: MembershipEvent): void => {
        const step = stepMembership(vm.membership, event, clockOf(vm));
        vm.membership = step.state;
        step.effects.forEach(effect => performMembership(vm, effect));
    };

    const handOverTo = (vm: SimulatedVm, asker: SimulatedVm, process: number, joinedAt: number): void => {
        const run = vm.membership.members.get(asker.vm)?.run;
        if (vm.membership.offset <= joinedAt || run !== `${asker.vm}-${process}`) {
            return;
        }
        const isRepeated = vm.membership.handedTo.includes(run);
        const ageMs = isRepeated ? -timing.keepMs : confirmedAge(vm.membership, clockOf(vm));
        apply(vm, placedEvent(vm));
        applyMembership(vm, { kind: "gave", to: run });
        const isTheirs = homeOf(vm.membership.members.values(), ORGANISATION, vm.domain) === asker.vm;
        const step = stepAllowance(vm.allowance, { kind: "hand-over", to: asker.vm }, clockOf(vm));
        vm.allowance = isTheirs ? step.state : vm.allowance;
        const bucket = isTheirs ? step.effects.find(effect => effect.kind === "hand-over")?.bucket : undefined;
        send(vm, asker, () => {
            if (!asker.membership.awaiting.includes(vm.vm)) {
                return;
            }
            if (bucket !== undefined) {
                apply(asker, { kind: "handed", bucket });
            }
            applyMembership(asker, { kind: "handed-over", from: vm.vm, ageMs });
        });
    };

    const performMembership = (vm: SimulatedVm, effect: MembershipEffect): void => {
        if (effect.kind === "append") {
            if (!isCut(vm.domain)) {
                log.push({ record: effect.record, at: scheduler.now() });
            }
            return;
        }
        if (effect.kind === "ask-hand-over") {
            const of = vms.find(other => other.vm === effect.of)!;
            const process = vm.process;
            send(vm, of, () => handOverTo(of, vm, process, effect.joinedAt));
            return;
        }
        apply(vm, placedEvent(vm));
    };

    const readLog = (vm: SimulatedVm): void => {
        if (isCut(vm.domain)) {
            return;
        }
        const from = vm.membership.offset;
        const records = log.slice(from).map(({ record }, i) => ({ offset: from + i, record }));
        applyMembership(vm, { kind: "read", from, next: log.length, atEnd: true, records });
    };

    const readList = (vm: SimulatedVm): void => {
        if (isCut(vm.domain)) {
            return;
        }
        const seen = listChanges.filter(change => change.at + LIST_LAG_MS <= scheduler.now());
        const present = vms.filter(other => seen.filter(change => change.vm === other.vm).at(-1)?.present ?? true);
        const listed = present.map(other => ({
            vm: other.vm,
            failureDomain: other.domain,
            state: "live" as const,
            peer: "",
            admin: "",
        }));
        applyMembership(vm, { kind: "listed", vms: listed });
    };

    const every = (vm: SimulatedVm, process: number, ms: number, action: () => void): void =>
        onProcess(vm, process, scheduler.now() + ms, () => {
            action();
            every(vm, process, ms, action);
        });

    const start = (vm: SimulatedVm, process: number): void => {
        vm.process = process;
        vm.suspendedUntil = 0;
        vm.waiting.clear();
        vm.membership = openMembership(recordOf(vm), timing.keepMs, clockOf(vm));
        vm.allowance = openAllowance({
            vm: vm.vm,
            run: runOf(vm),
            domain: vm.domain,
            limits,
            homes: [],
            servesFrom: undefined,
            now: clockOf(vm),
        });
        listChanges.push({ at: scheduler.now(), vm: vm.vm, present: true });
        every(vm, process, READ_MS, () => readLog(vm));
        every(vm, process, LIST_MS, () => readList(vm));
        every(vm, process, TICK_MS, () => {
            applyMembership(vm, { kind: "tick" });
            apply(vm, placedEvent(vm));
            apply(vm, { kind: "tick" });
        });
    };

    const kill = (vm: SimulatedVm): number => {
        const process = vm.process;
        vm.process = 0;
        return process;
    };

    const fault = (): void => {
        const vm = vms[Math.floor(random() * vms.length)]!;
        const kind = FAULTS[Math.floor(random() * FAULTS.length)]!;
        faults.push(`${kind} ${vm.vm} at ${Math.round(scheduler.now())}`);
        if (kind === "cut") {
            cutUntil.set(vm.domain, scheduler.now() + 200 + random() * 4_000);
            return;
        }
        if (kind === "suspend") {
            vm.suspendedUntil = scheduler.now() + 200 + random() * 4_000;
            return;
        }
        if (vm.process === 0) {
            return;
        }
        if (kind === "freeze") {
            vm.suspendedUntil = scheduler.now() + 3_000 + random() * 5_000;
            listChanges.push({ at: scheduler.now(), vm: vm.vm, present: false });
            listChanges.push({ at: vm.suspendedUntil, vm: vm.vm, present: true });
            return;
        }
        const process = kill(vm);
        if (kind === "replace") {
            listChanges.push({ at: scheduler.now(), vm: vm.vm, present: false });
        }
        const back = scheduler.now() + (kind === "replace" ? 2_000 + random() * 6_000 : random() * 1_000);
        scheduler.at(back, () => start(vm, process + 1));
    };

    const request = (): void => {
        const called = vms.filter(vm => options.calledDomains?.includes(vm.domain) ?? true);
        const vm = called[Math.floor(random() * called.length)]!;
        const tokens = Math.ceil(random() * options.maxTokens);
        const id = counters.request++;
        onProcess(vm, vm.process, scheduler.now(), () => {
            vm.waiting.set(id, { tokens, since: scheduler.now() });
            apply(vm, { kind: "reserve", id, tokens, deadline: clockOf(vm) + 10_000 });
        });
    };

    const vms: readonly SimulatedVm[] = DOMAINS.flatMap(domain =>
        Array.from({ length: VMS_PER_DOMAIN }, (_, i) => ({
            vm: VmId.parse(`${domain}-${i + 1}`),
            domain,
            clockRate: options.faults > 0 ? MIN_CLOCK_RATE + random() * (1 - MIN_CLOCK_RATE) : 1,
            process: 0,
            suspendedUntil: 0,
            wakesAt: 0,
            waiting: new Map(),
        } as unknown as SimulatedVm))
    );
    vms.forEach(vm => scheduler.at(random() * 20, () => start(vm, 1)));
    const arrivals = (time: number): void =>
        scheduler.at(time, () => {
            request();
            const { floodEveryMs } = options;
            const isTrickle = floodEveryMs !== undefined && time % floodEveryMs > FLOOD_MS;
            const demand = options.demand * (isTrickle ? TRICKLE_FRACTION : 1);
            arrivals(time - Math.log(1 - random()) * 1_000 * (options.maxTokens / 2) / demand);
        });
    arrivals(1_000);
    const nextFault = (time: number): void =>
        scheduler.at(time, () => {
            fault();
            nextFault(time - Math.log(1 - random()) * 1_000 / options.faults);
        });
    if (options.faults > 0) {
        nextFault(1_500);
    }
    scheduler.run(options.lengthMs);
    // While no home serves after a start, requests wait for one; otherwise they are decided within the maximum wait.
    const maxWaitOf = ({ allowance }: SimulatedVm): number => {
        const { isTakingOver, rate } = outlookOf(allowance, scheduler.now());
        return isTakingOver && rate === 0 ? timing.takeoverMs + timing.maxWaitMs : 2 * timing.maxWaitMs;
    };
    const unanswered = vms
        .filter(vm => vm.process !== 0 && vm.suspendedUntil <= scheduler.now())
        .flatMap(vm => [...vm.waiting.values()].filter(({ since }) => since < scheduler.now() - maxWaitOf(vm)))
        .length;
    return { spends, refusals, faults, messages: counters.messages, unanswered };
}
