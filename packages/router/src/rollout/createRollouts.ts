import type { Clock, Incarnation, Millis, ServiceName, VmId } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { StorePort } from "../ports/StorePort.js";
import type { EndpointEntry } from "../registry/EndpointEntry.js";
import type { CountsReport } from "./CountsReport.js";
import { createAnswerCounts } from "./createAnswerCounts.js";
import { createLeadership } from "./createLeadership.js";
import { createStatusKeeper } from "./createStatusKeeper.js";
import { isFinal } from "./isFinal.js";
import { isInTrial } from "./isInTrial.js";
import { learnPhase } from "./learnPhase.js";
import type { RolloutEntry } from "./RolloutEntry.js";
import type { RolloutPhase } from "./RolloutPhase.js";
import type { RolloutRow } from "./RolloutRow.js";
import type { RolloutState } from "./RolloutState.js";
import { rolloutTiming } from "./rolloutTiming.js";
import { selectByVersion } from "./selectByVersion.js";
import { versionChoice } from "./versionChoice.js";
import type { VersionRollout } from "./VersionRollout.js";

type RolloutParts = {
    readonly clock: Clock;
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    /** Uniformly distributed in [0, 1). */
    readonly random: () => number;
    readonly store: Pick<StorePort, "newest" | "put">;
    readonly wire: Pick<DirectoryWire, "statusTopic" | "encodeRolloutStatus" | "decodeRolloutStatus">;
    /** Largest fraction of a service's requests that a version may get before it is known to be good. */
    readonly exposure: () => number;
    /** Whether this VM leads now: it holds the order lease. */
    readonly isLeader: () => boolean;
    /** The endpoints of a service that take requests. */
    readonly endpointsOf: (service: ServiceName) => readonly Pick<EndpointEntry, "softwareVersion">[];
    /** Sends a report to the leader, if it can be reached. */
    readonly report: (report: CountsReport) => void;
    /** Sends the other VMs soon what this VM learned. */
    readonly sendSoon: () => void;
    readonly logger: Logger;
    readonly metrics: Metrics;
};

type CountedTry = Parameters<ReturnType<typeof createAnswerCounts>["record"]>[0];

/** Moves services to other versions of their software, as the operators ordered. */
type Rollouts = {
    /** Applies an order; one that is not newer than the known one of its service is ignored. */
    readonly order: (order: VersionRollout) => void;
    /**
     * Applies what a peer sent.
     *
     * @param sentAfter earliest time at which the peer can have sent it; `-Infinity` if that is not known
     * @returns whether any of it was new to this VM
     */
    readonly receiveRows: (rows: readonly RolloutRow[], sentAfter: Millis) => boolean;
    readonly rows: () => readonly RolloutRow[];
    readonly receiveReport: (report: CountsReport) => void;
    /**
     * Draws the version for a request to a service.
     *
     * @returns a function that selects the endpoints that may get it, of the new version only such that have room;
     *     undefined if there is no rollout
     */
    readonly selectorFor: (
        service: ServiceName,
        isRepeatable: boolean,
    ) =>
        | (<Each extends EndpointEntry>(
            entries: readonly Each[],
            hasRoom?: (entry: EndpointEntry) => boolean,
        ) => readonly Each[])
        | undefined;
    /** Returns the endpoints of a service that may get a stream that began at their version. */
    readonly continuableAt: <Each extends EndpointEntry>(
        service: ServiceName,
        entries: readonly Each[],
    ) => readonly Each[];
    readonly recordTry: (entry: EndpointEntry, tried: Omit<CountedTry, "isNew">) => void;
    /** Whether any rollout has not ended, or its end is not in the store yet. */
    readonly isLeaderWanted: () => boolean;
    /** Forgets how recent all statements are: the process may have been suspended since. */
    readonly onSuspended: () => void;
    readonly tick: () => void;
};

/** Fraction of the new version's endpoints at which its streams may go on. */
const ALL_ENDPOINTS = 1;
/** Part of the exposure that is used, as the requests of the trial are drawn at random. */
const USED_FRACTION = 0.8;
/** Time after the end for which a completed rollout still keeps requests from the old endpoints, which are stopped. */
const COMPLETED_FOR_MS: Millis = 10_000;

/** Time after the end for which a leader makes sure that the status says so; longer than a lease takes to change hands. */
const FINAL_OPEN_FOR_MS: Millis = 8_000;

/** Sent in place of an age that is not known, as JSON has no infinity, and a beacon with another value is unreadable. */
const MAX_STATED_MS: Millis = 3_600_000;

const statusOf = (phase: RolloutPhase | undefined): RolloutState =>
    phase === "completed" || phase === "rolled-back" ? phase : "running";

/** Creates the rollouts of a VM; none is known yet. */
export function createRollouts(parts: RolloutParts): Rollouts {
    const { clock, logger } = parts;
    const entries = new Map<ServiceName, RolloutEntry>();
    const state = { reportedAt: -Infinity as Millis, reportedBad: 0 };
    const share = (): number => parts.exposure() * USED_FRACTION;

    /**
     * A VM that has just started, or did not run while the order lay unread, takes it for newer than it is, and as the
     * leader would end the rollout too late. To prevent this, the earliest time known to any VM counts.
     */
    const correctAge = (entry: RolloutEntry, { learnedAt }: VersionRollout): void => {
        const { view } = entry;
        if (learnedAt < view.order.learnedAt) {
            entry.view = { ...view, order: { ...view.order, learnedAt } };
        }
    };

    const order: Rollouts["order"] = rollout => {
        const known = entries.get(rollout.service);
        const knownId = known?.view.order.id ?? -1;
        if (known !== undefined && rollout.id === knownId) {
            correctAge(known, rollout);
        }
        if (rollout.id <= knownId) {
            return;
        }
        logger.info({ ...rollout }, "Rollout ordered.");
        entries.set(rollout.service, {
            view: { order: rollout, phase: undefined, statedAt: -Infinity },
            counts: createAnswerCounts(),
            leadership: undefined,
            status: { known: "unread", end: 0, pending: undefined, retryAt: -Infinity },
        });
        parts.sendSoon();
    };

    const advance = (entry: RolloutEntry, phase: RolloutPhase, statedAt: Millis, inputs: object): boolean => {
        const before = entry.view;
        entry.view = learnPhase(before, phase, statedAt);
        const isNew = entry.view.phase !== before.phase;
        if (isNew) {
            const { service, version } = before.order;
            logger.info({ service, version, before: before.phase, phase, ...inputs }, "Rollout entered a phase.");
        }
        return isNew;
    };

    const receiveRows: Rollouts["receiveRows"] = (rows, sentAfter) =>
        rows.map(({ service, id, version, durationMs, ageMs, phase, statedMs }) => {
            const known = entries.get(service)?.view.order.id ?? -1;
            order({ id, service, version, durationMs, learnedAt: clock.now() - ageMs });
            const entry = entries.get(service);
            const isAdvanced = entry !== undefined && entry.view.order.id === id && phase !== undefined
                && advance(entry, phase, Math.min(clock.now(), sentAfter) - statedMs, { by: "peer" });
            return isAdvanced || id > known;
        }).includes(true);

    const rows = (): readonly RolloutRow[] =>
        [...entries.values()].map((
            { view: { order: { service, id, version, durationMs, learnedAt }, phase, statedAt } },
        ) => ({
            service,
            id,
            version,
            durationMs,
            // Rounded up, ages would grow with each exchange.
            ageMs: Math.floor(clock.now() - learnedAt),
            phase,
            statedMs: phase === undefined ? 0 : Math.min(MAX_STATED_MS, Math.round(clock.now() - statedAt)),
        }));

    const selectorFor: Rollouts["selectorFor"] = (service, isRepeatable) => {
        const view = entries.get(service)?.view;
        const isOver = view?.phase === "completed" && clock.now() - view.statedAt > COMPLETED_FOR_MS;
        if (view === undefined || isOver) {
            return undefined;
        }
        const draw = parts.random();
        return (candidates, hasRoom) => {
            const { version } = view.order;
            const newEndpoints = candidates.filter(({ softwareVersion }) => softwareVersion === version).length;
            // A request that may run only once would be lost with a bad answer.
            const isCanary = isRepeatable
                && isInTrial({ share: share(), newEndpoints, epochMs: clock.epoch(), draw });
            return selectByVersion(candidates, version, versionChoice(view, isCanary, clock.now()), share(), hasRoom);
        };
    };

    /**
     * A stream goes on at its version whatever the phase, except at a new version that gets no requests now: it may have
     * been taken back, unless there is no other one.
     */
    const continuableAt: Rollouts["continuableAt"] = (service, candidates) => {
        const view = entries.get(service)?.view;
        if (view === undefined) {
            return candidates;
        }
        const { version } = view.order;
        const isTrial = true;
        const allowed = new Set(
            selectByVersion(candidates, version, versionChoice(view, isTrial, clock.now()), ALL_ENDPOINTS),
        );
        return candidates.filter(each => each.softwareVersion !== version || allowed.has(each));
    };

    const recordTry: Rollouts["recordTry"] = ({ service, softwareVersion }, tried) => {
        const entry = entries.get(service);
        if (entry !== undefined && !isFinal(entry.view.phase)) {
            entry.counts.record({ ...tried, isNew: softwareVersion === entry.view.order.version });
        }
    };

    const reportOf = ({ view, counts }: RolloutEntry): CountsReport => ({
        vm: parts.vm,
        incarnation: parts.incarnation,
        service: view.order.service,
        order: view.order.id,
        rows: counts.rows(),
    });
    const receiveReport: Rollouts["receiveReport"] = report => {
        const entry = entries.get(report.service);
        if (entry?.view.order.id === report.order) {
            entry.leadership?.receiveReport(report);
        }
    };

    const statusKeeper = createStatusKeeper({
        clock,
        store: parts.store,
        wire: parts.wire,
        onEnded: (entry, phase) => {
            advance(entry, phase, clock.now(), { by: "status" });
            parts.sendSoon();
        },
        logger,
    });

    const lead = (entry: RolloutEntry): void => {
        const { status } = entry;
        // Operators may have read that it is completed, and a phase that contradicts them would leave no endpoint.
        if (status.pending === "completed") {
            return;
        }
        const canCall = status.pending === undefined && clock.now() >= status.retryAt;
        if (entry.leadership === undefined && status.known === "unread") {
            if (canCall) {
                void statusKeeper.read(entry);
            }
            return;
        }
        entry.leadership ??= createLeadership(clock);
        entry.leadership.receiveReport(reportOf(entry));
        const { service, version } = entry.view.order;
        const present = parts.endpointsOf(service);
        const plan = entry.leadership.plan(entry.view, {
            hasNew: present.some(({ softwareVersion }) => softwareVersion === version),
            hasOld: present.some(({ softwareVersion }) => softwareVersion !== version),
        });
        const inputs = { reason: plan.reason, ...entry.leadership.evidence() };
        // The old endpoints are stopped by the status, so the other VMs learn of the end once the store has it.
        if (plan.phase !== "completed" && !isFinal(entry.view.phase)) {
            if (advance(entry, plan.phase, clock.now(), inputs)) {
                parts.metrics.count("azureshunt_rollout_phases_total", "Phases of rollouts that this VM began.", {
                    phase: plan.phase,
                });
                parts.sendSoon();
            }
        }
        const wanted = statusOf(plan.phase);
        // The version is judged on while the store does not answer, as its failures reach callers.
        if (canCall && status.known === "unread") {
            void statusKeeper.read(entry);
        }
        else if (canCall && status.known !== wanted) {
            void statusKeeper.write(entry, wanted);
        }
    };

    // A leader may die between the end of a rollout and its status, so the next one looks for that for a while.
    const isOpen = ({ view, status }: RolloutEntry): boolean =>
        !isFinal(view.phase) || (status.known !== view.phase && clock.now() - view.statedAt < FINAL_OPEN_FOR_MS);
    const tick = (): void => {
        const open = [...entries.values()].filter(isOpen);
        if (parts.isLeader()) {
            open.forEach(lead);
            return;
        }
        open.forEach(entry => {
            entry.leadership = undefined;
            entry.status = { ...entry.status, known: "unread" };
        });
        const reports = open.map(reportOf).filter(({ rows }) => rows.length > 0);
        const newBad = reports.flatMap(({ rows }) => rows).reduce((sum, row) => sum + row.newBad, 0);
        // A bad answer of the new version is reported at once, as each further one reaches another caller.
        if (newBad !== state.reportedBad || clock.now() - state.reportedAt >= rolloutTiming.reportMs) {
            state.reportedAt = clock.now();
            state.reportedBad = newBad;
            reports.forEach(parts.report);
        }
    };
    return {
        order,
        receiveRows,
        rows,
        receiveReport,
        selectorFor,
        continuableAt,
        recordTry,
        onSuspended: () =>
            [...entries.values()].filter(({ view }) => !isFinal(view.phase)).forEach(entry => {
                entry.view = { ...entry.view, statedAt: -Infinity };
            }),
        isLeaderWanted: () => [...entries.values()].some(isOpen),
        tick,
    };
}
