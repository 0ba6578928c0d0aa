import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";

import { timing } from "@azureshunt/allowance";
import type { RecordId } from "@azureshunt/core";
import { listVms } from "@azureshunt/log";
import type { ListedVm, MembershipEffect, MembershipRecord } from "@azureshunt/membership";
import { openMembership, stepMembership } from "@azureshunt/membership";
import { dispatch, spawn } from "nact";

import { runAggregate } from "../actors/runAggregate.js";
import type { MembershipPort } from "../ports/MembershipPort.js";
import { followMembershipLog } from "./followMembershipLog.js";
import type { HomePort } from "./HomePort.js";
import type { MembershipParts } from "./MembershipParts.js";
import { membersOf } from "./membersOf.js";

const STREAM = "membership";
const VM_LIST_POLL_MS = 1_000;
const TICK_MS = 100;
const LEAVE_TIMEOUT_MS = 2_000;
const LEAVE_POLL_MS = 20;

type Members = ReturnType<MembershipPort["members"]>;

/** The membership of this daemon, with the interface for allowances. */
type DaemonMembership = MembershipPort & HomePort & {
    /** Begins to follow the members, and to be one; called once, when callers and peers can connect. */
    readonly join: () => void;
    readonly stop: () => void;
};

/**
 * Creates the membership, which follows the membership stream of the log and the platform's list of VMs. While neither can
 * be read, the last known members remain.
 */
export function createMembershipPort(parts: MembershipParts): DaemonMembership {
    const { settings, incarnation, clock, log, metrics } = parts;
    const logger = parts.logger("membership");
    const self: MembershipPort["self"] = {
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        state: "live",
        peer: settings.listen.peer,
        admin: settings.listen.admin,
        incarnation,
    };
    const record: MembershipRecord = {
        kind: "join",
        vm: settings.vm,
        run: incarnation,
        failureDomain: settings.failureDomain,
        peer: self.peer,
        admin: self.admin,
    };
    const vmList: { listed: readonly ListedVm[]; } = { listed: [] };
    const listeners = new Set<(members: Members) => void>();
    const homeListeners: (() => void)[] = [];
    const handOverListeners: Parameters<HomePort["onHandOverDue"]>[0][] = [];

    // One record after the other, so that a leave does not come before the join that it ends.
    const appender = spawn(
        parts.system,
        async (appended: number, data: MembershipRecord) => {
            const answer = await log.append(STREAM, [{ id: randomUUID() as string as RecordId, data }]);
            const outcome = answer.caseOf<string>({ Left: failure => failure.kind, Right: () => "done" });
            metrics.count("azureshunt_membership_appends_total", "Membership records written, by outcome.", {
                kind: data.kind,
                outcome,
            });
            return appended + 1;
        },
        "membership-appender",
        { initialState: 0 },
    );

    const members = (): Members => membersOf(self, aggregate.state(), vmList.listed, settings.peers.seeds);
    const notifyListeners = (): void => {
        listeners.forEach(listener => listener(members()));
        homeListeners.forEach(listener => listener());
    };
    const perform = (effect: MembershipEffect): void => {
        switch (effect.kind) {
            case "append":
                dispatch(appender, effect.record);
                return;
            case "ask-hand-over":
                handOverListeners.forEach(listener => listener(effect.of, effect.joinedAt));
                return;
            case "changed":
                notifyListeners();
                return;
        }
    };
    const aggregate = runAggregate({
        initial: openMembership(record, timing.keepMs, clock.now()),
        now: clock.now,
        reduce: stepMembership,
        perform,
    });
    const pollVmList = async (): Promise<void> => {
        const listed = await listVms(settings.platform.url).run();
        listed.ifRight(vms => {
            vmList.listed = vms;
            aggregate.tell({ kind: "listed", vms });
            listeners.forEach(listener => listener(members()));
        });
    };
    const stopController = new AbortController();
    const timers: NodeJS.Timeout[] = [];
    const join = (): void => {
        timers.push(
            setInterval(() => void pollVmList(), VM_LIST_POLL_MS),
            setInterval(() => {
                if (!aggregate.state().isLeaving) {
                    aggregate.tell({ kind: "tick" });
                }
            }, TICK_MS),
        );
        void pollVmList();
        followMembershipLog(parts, aggregate.tell, stopController.signal)
            .catch((err: unknown) => logger.error({ err }, "Following the membership log failed."));
    };

    /** A join that was appended and has not been read yet must not follow the leave. */
    const hasLeft = (): boolean => {
        const { appendedAt, members: joined } = aggregate.state();
        return appendedAt === undefined && !joined.has(settings.vm);
    };
    const waitUntilLeft = async (deadline: number): Promise<boolean> => {
        if (hasLeft() || clock.now() >= deadline) {
            return hasLeft();
        }
        await delay(LEAVE_POLL_MS);
        return await waitUntilLeft(deadline);
    };

    return {
        self,
        join,
        members,
        membership: aggregate.state,
        tell: aggregate.tell,
        onHomesChanged: listener => void homeListeners.push(listener),
        onHandOverDue: listener => void handOverListeners.push(listener),
        leave: async () => {
            aggregate.tell({ kind: "leave" });
            return await waitUntilLeft(clock.now() + LEAVE_TIMEOUT_MS);
        },
        subscribe: onChange => {
            listeners.add(onChange);
            return () => void listeners.delete(onChange);
        },
        stop: () => {
            timers.forEach(clearInterval);
            stopController.abort();
        },
    };
}
