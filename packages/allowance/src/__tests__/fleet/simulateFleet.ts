import { FailureDomain, Incarnation, OrganisationId, VmId } from "@azureshunt/core";
import type { MembershipEffect, MembershipEvent, MembershipRecord } from "@azureshunt/membership";
import { homeOf, openMembership, servesFrom, stepMembership, vouchedAge } from "@azureshunt/membership";

import type { AllowanceEffect } from "../../AllowanceEffect.js";
import type { AllowanceEvent } from "../../AllowanceEvent.js";
import { openAllowance } from "../../openAllowance.js";
import { outlookOf } from "../../outlookOf.js";
import { shareOf } from "../../shareOf.js";
import { stepAllowance } from "../../stepAllowance.js";
import { timing } from "../../timing.js";
import { createAgenda } from "./createAgenda.js";
import type { FleetOptions } from "./FleetOptions.js";
import type { FleetOutcome } from "./FleetOutcome.js";
import { randomFrom } from "./randomFrom.js";
import type { SimulatedVm } from "./SimulatedVm.js";
import type { Spend } from "./Spend.js";

const ORGANISATION = OrganisationId.parse("acme");
const DOMAINS = ["north", "south", "west"].map(name => FailureDomain.parse(name));
const VMS_PER_DOMAIN = 2;
const SLOWEST_CLOCK = 0.96;
const TICK_MS = 100;
const READ_MS = 40;
const LIST_MS = 300;
const LIST_LAG_MS = 600;
const FLOOD_MS = 1_000;
const TRICKLE = 0.05;
const LATE_MS = 5_000;
/** `freeze`: the VM is paused and dropped from the list meanwhile, and comes back to life all the same. */
const FAULTS = ["restart", "restart", "replace", "pause", "freeze", "cut", "cut"] as const;

/** Runs one organisation on six VMs in three failure domains, as plain function calls on one agenda. */
export function simulateFleet(options: FleetOptions): FleetOutcome {
    const random = randomFrom(options.seed);
    const agenda = createAgenda();
    const limits = { rate: options.rate, burst: options.burst };
    const spends: Spend[] = [];
    const refusals: (Spend & { readonly reason: string; readonly waitedMs: number; })[] = [];
    const faults: string[] = [];
    const odds = options.messageFaults ?? 0;
    const counts = { messages: 0, unanswered: 0, request: 0 };
    const log: { readonly record: MembershipRecord; readonly at: number; }[] = [];
    const listChanges: { readonly at: number; readonly vm: VmId; readonly present: boolean; }[] = [];
    const cutUntil = new Map<FailureDomain, number>();

    const clockOf = (vm: SimulatedVm): number => agenda.now() * vm.clockRate;
    const runOf = (vm: SimulatedVm): Incarnation => Incarnation.parse(`${vm.vm}-${vm.process}`);
    const recordOf = (vm: SimulatedVm): MembershipRecord => ({
        kind: "join",
        vm: vm.vm,
        run: runOf(vm),
        failureDomain: vm.domain,
        peer: "",
        admin: "",
    });
    const isCut = (domain: FailureDomain): boolean => (cutUntil.get(domain) ?? 0) > agenda.now();

    /** Runs an action on a VM's process: later when it is paused, never when the process is gone. */
    const onProcess = (vm: SimulatedVm, process: number, time: number, action: () => void): void =>
        agenda.at(time, () => {
            if (process === 0 || vm.process !== process) {
                return;
            }
            if (vm.pausedUntil > agenda.now()) {
                onProcess(vm, process, vm.pausedUntil, action);
                return;
            }
            action();
        });

    /** Delivers a message: lost, late or repeated now and then, and never across a cut. */
    const send = (from: SimulatedVm, to: SimulatedVm, deliver: () => void): void => {
        counts.messages++;
        const cut = from.domain !== to.domain && (isCut(from.domain) || isCut(to.domain));
        if (cut || (random() < odds)) {
            return;
        }
        const delay = 0.5 + (options.lagMs ?? 0) + random() + (random() < odds ? random() * LATE_MS : 0);
        onProcess(to, to.process, agenda.now() + delay, deliver);
        if (random() < odds) {
            onProcess(to, to.process, agenda.now() + delay + random() * LATE_MS, deliver);
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

    const tell = (vm: SimulatedVm, event: AllowanceEvent): void => {
        const step = stepAllowance(vm.allowance, event, clockOf(vm));
        vm.allowance = step.state;
        step.effects.forEach(effect => perform(vm, effect));
    };

    const settleLater = (
        vm: SimulatedVm,
        tokens: number,
        parts: Extract<AllowanceEffect, { kind: "admit"; }>["parts"],
    ) => {
        const used = Math.ceil(tokens * (options.leastUsed + random() * (1 - options.leastUsed)));
        spends.push({ at: agenda.now(), tokens: used });
        onProcess(vm, vm.process, agenda.now() + random() * 3_000, () => tell(vm, { kind: "settle", parts, used }));
    };

    const ask = (vm: SimulatedVm, effect: Extract<AllowanceEffect, { kind: "ask"; }>): void => {
        const to = vms.find(other => other.vm === effect.to)!;
        const { seq } = effect.ask;
        const process = vm.process;
        send(vm, to, () => tell(to, { kind: "ask", from: vm.vm, ask: effect.ask }));
        onProcess(
            vm,
            process,
            agenda.now() + timing.askTimeoutMs,
            () => tell(vm, { kind: "unanswered", from: to.vm, seq }),
        );
    };

    /** Keeps one timer, as the daemon does. */
    const wake = (vm: SimulatedVm, time: number): void => {
        if (vm.wakesAt > agenda.now() && vm.wakesAt <= time) {
            return;
        }
        vm.wakesAt = time;
        onProcess(vm, vm.process, time, () => tell(vm, { kind: "tick" }));
    };

    const perform = (vm: SimulatedVm, effect: AllowanceEffect): void => {
        const to = "to" in effect ? vms.find(other => other.vm === effect.to)! : vm;
        switch (effect.kind) {
            case "admit": {
                const waiting = vm.waiting.get(effect.id)!;
                vm.waiting.delete(effect.id);
                settleLater(vm, waiting.tokens, effect.parts);
                return;
            }
            case "refuse": {
                const { tokens, since } = vm.waiting.get(effect.id)!;
                vm.waiting.delete(effect.id);
                const at = agenda.now();
                refusals.push({ at, tokens, reason: effect.reason, waitedMs: at - since });
                return;
            }
            case "ask":
                return ask(vm, effect);
            case "answer":
                return send(vm, to, () => tell(to, { kind: "answer", from: vm.vm, answer: effect.answer }));
            case "recall":
                return send(vm, to, () => tell(to, { kind: "recall", from: vm.vm, waitedMs: effect.waitedMs }));
            case "hand-over":
                return send(vm, to, () => tell(to, { kind: "handed", bucket: effect.bucket }));
            case "wake":
                return wake(vm, effect.at / vm.clockRate);
            case "decline":
                return send(vm, to, () => tell(to, { kind: "declined", from: vm.vm, seq: effect.seq }));
        }
    };

    const tellMembership = (vm: SimulatedVm, event: MembershipEvent): void => {
        const step = stepMembership(vm.membership, event, clockOf(vm));
        vm.membership = step.state;
        step.effects.forEach(effect => performMembership(vm, effect));
    };

    const handOverTo = (vm: SimulatedVm, asker: SimulatedVm, process: number, joinedAt: number): void => {
        const run = vm.membership.members.get(asker.vm)?.run;
        if (vm.membership.offset <= joinedAt || run !== `${asker.vm}-${process}`) {
            return;
        }
        const again = vm.membership.handedTo.includes(run);
        const ageMs = again ? -timing.keepMs : vouchedAge(vm.membership, clockOf(vm));
        tell(vm, placedEvent(vm));
        tellMembership(vm, { kind: "gave", to: run });
        const isTheirs = homeOf(vm.membership.members.values(), ORGANISATION, vm.domain) === asker.vm;
        const step = stepAllowance(vm.allowance, { kind: "hand-over", to: asker.vm }, clockOf(vm));
        vm.allowance = isTheirs ? step.state : vm.allowance;
        const bucket = isTheirs ? step.effects.find(effect => effect.kind === "hand-over")?.bucket : undefined;
        send(vm, asker, () => {
            if (!asker.membership.awaiting.includes(vm.vm)) {
                return;
            }
            if (bucket !== undefined) {
                tell(asker, { kind: "handed", bucket });
            }
            tellMembership(asker, { kind: "handed-over", from: vm.vm, ageMs });
        });
    };

    const performMembership = (vm: SimulatedVm, effect: MembershipEffect): void => {
        if (effect.kind === "append") {
            if (!isCut(vm.domain)) {
                log.push({ record: effect.record, at: agenda.now() });
            }
            return;
        }
        if (effect.kind === "ask-hand-over") {
            const of = vms.find(other => other.vm === effect.of)!;
            const process = vm.process;
            send(vm, of, () => handOverTo(of, vm, process, effect.joinedAt));
            return;
        }
        tell(vm, placedEvent(vm));
    };

    const readLog = (vm: SimulatedVm): void => {
        if (isCut(vm.domain)) {
            return;
        }
        const from = vm.membership.offset;
        const records = log.slice(from).map(({ record }, i) => ({ offset: from + i, record }));
        tellMembership(vm, { kind: "read", from, next: log.length, atEnd: true, records });
    };

    const readList = (vm: SimulatedVm): void => {
        if (isCut(vm.domain)) {
            return;
        }
        const seen = listChanges.filter(change => change.at + LIST_LAG_MS <= agenda.now());
        const present = vms.filter(other => seen.filter(change => change.vm === other.vm).at(-1)?.present ?? true);
        const listed = present.map(other => ({
            vm: other.vm,
            failureDomain: other.domain,
            state: "live" as const,
            peer: "",
            admin: "",
        }));
        tellMembership(vm, { kind: "listed", vms: listed });
    };

    const every = (vm: SimulatedVm, process: number, ms: number, action: () => void): void =>
        onProcess(vm, process, agenda.now() + ms, () => {
            action();
            every(vm, process, ms, action);
        });

    const start = (vm: SimulatedVm, process: number): void => {
        vm.process = process;
        vm.pausedUntil = 0;
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
        listChanges.push({ at: agenda.now(), vm: vm.vm, present: true });
        every(vm, process, READ_MS, () => readLog(vm));
        every(vm, process, LIST_MS, () => readList(vm));
        every(vm, process, TICK_MS, () => {
            tellMembership(vm, { kind: "tick" });
            tell(vm, placedEvent(vm));
            tell(vm, { kind: "tick" });
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
        faults.push(`${kind} ${vm.vm} at ${Math.round(agenda.now())}`);
        if (kind === "cut") {
            cutUntil.set(vm.domain, agenda.now() + 200 + random() * 4_000);
            return;
        }
        if (kind === "pause") {
            vm.pausedUntil = agenda.now() + 200 + random() * 4_000;
            return;
        }
        if (vm.process === 0) {
            return;
        }
        if (kind === "freeze") {
            vm.pausedUntil = agenda.now() + 3_000 + random() * 5_000;
            listChanges.push({ at: agenda.now(), vm: vm.vm, present: false });
            listChanges.push({ at: vm.pausedUntil, vm: vm.vm, present: true });
            return;
        }
        const process = kill(vm);
        if (kind === "replace") {
            listChanges.push({ at: agenda.now(), vm: vm.vm, present: false });
        }
        const back = agenda.now() + (kind === "replace" ? 2_000 + random() * 6_000 : random() * 1_000);
        agenda.at(back, () => start(vm, process + 1));
    };

    const request = (): void => {
        const called = vms.filter(vm => options.calledDomains?.includes(vm.domain) ?? true);
        const vm = called[Math.floor(random() * called.length)]!;
        const tokens = Math.ceil(random() * options.maxTokens);
        const id = counts.request++;
        onProcess(vm, vm.process, agenda.now(), () => {
            vm.waiting.set(id, { tokens, since: agenda.now() });
            tell(vm, { kind: "reserve", id, tokens, deadline: clockOf(vm) + 10_000 });
        });
    };

    const vms: readonly SimulatedVm[] = DOMAINS.flatMap(domain =>
        Array.from({ length: VMS_PER_DOMAIN }, (_, i) => ({
            vm: VmId.parse(`${domain}-${i + 1}`),
            domain,
            clockRate: options.faults > 0 ? SLOWEST_CLOCK + random() * (1 - SLOWEST_CLOCK) : 1,
            process: 0,
            pausedUntil: 0,
            wakesAt: 0,
            waiting: new Map(),
        } as unknown as SimulatedVm))
    );
    vms.forEach(vm => agenda.at(random() * 20, () => start(vm, 1)));
    const arrivals = (time: number): void =>
        agenda.at(time, () => {
            request();
            const { floodEveryMs } = options;
            const calm = floodEveryMs !== undefined && time % floodEveryMs > FLOOD_MS;
            const demand = options.demand * (calm ? TRICKLE : 1);
            arrivals(time - Math.log(1 - random()) * 1_000 * (options.maxTokens / 2) / demand);
        });
    arrivals(1_000);
    const nextFault = (time: number): void =>
        agenda.at(time, () => {
            fault();
            nextFault(time - Math.log(1 - random()) * 1_000 / options.faults);
        });
    if (options.faults > 0) {
        nextFault(1_500);
    }
    agenda.run(options.lengthMs);
    // While no home serves after a start, requests wait for one; else they are answered by the end of the longest wait.
    const longestWait = ({ allowance }: SimulatedVm): number => {
        const { settling, rate } = outlookOf(allowance, agenda.now());
        return settling && rate === 0 ? timing.settleMs + timing.maxWaitMs : 2 * timing.maxWaitMs;
    };
    const unanswered = vms
        .filter(vm => vm.process !== 0 && vm.pausedUntil <= agenda.now())
        .flatMap(vm => [...vm.waiting.values()].filter(({ since }) => since < agenda.now() - longestWait(vm)))
        .length;
    return { spends, refusals, faults, messages: counts.messages, unanswered };
}
