import type { Clock, Millis, VmId } from "@azureshunt/core";

import { applyReport } from "./applyReport.js";
import type { CountsReport } from "./CountsReport.js";
import { initialJudgement } from "./initialJudgement.js";
import { initialVmCounts } from "./initialVmCounts.js";
import { judgeVersion } from "./judgeVersion.js";
import { planRollout } from "./planRollout.js";
import type { RolloutView } from "./RolloutView.js";
import { sumCounts } from "./sumCounts.js";
import type { VmCounts } from "./VmCounts.js";

type Presence = { readonly hasNew: boolean; readonly hasOld: boolean; };

/** What the leader of one rollout knows, beyond what every VM knows. */
type Leadership = {
    /** Applies the totals of a VM's process; they replace those that the same process reported before. */
    readonly receiveReport: (report: CountsReport) => void;
    /** Plans the next phase from the answers that were reported so far. */
    readonly plan: (view: RolloutView, presence: Presence) => ReturnType<typeof planRollout>;
    /** Inputs of the last plan, for the log. */
    readonly evidence: () => object;
};

/** Starts to lead a rollout. A new leader starts from the totals that all VMs report again. */
export function createLeadership(clock: Clock): Leadership {
    const reported = new Map<VmId, VmCounts>();
    const state = {
        judgement: initialJudgement,
        phase: undefined as RolloutView["phase"],
        phaseSince: clock.now() as Millis,
    };
    return {
        receiveReport: report =>
            void reported.set(report.vm, applyReport(reported.get(report.vm) ?? initialVmCounts, report)),
        plan: (view, presence) => {
            if (view.phase !== state.phase) {
                state.phase = view.phase;
                state.phaseSince = clock.now();
            }
            const rows = [...reported.values()].flatMap(({ ended, byProcess }) =>
                [ended, ...byProcess.values()].flat()
            );
            state.judgement = judgeVersion(state.judgement, sumCounts(rows));
            return planRollout({
                phase: view.phase,
                ageMs: clock.now() - view.order.learnedAt,
                durationMs: view.order.durationMs,
                phaseMs: clock.now() - state.phaseSince,
                isBad: state.judgement.badRoute !== undefined,
                ...presence,
            });
        },
        evidence: () => ({ badRoute: state.judgement.badRoute, counts: [...state.judgement.counts.values()] }),
    };
}
