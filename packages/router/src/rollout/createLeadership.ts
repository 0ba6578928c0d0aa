import type { Clock, Millis, VmId } from "@azureshunt/core";

import type { CountsReport } from "./CountsReport.js";
import { initialJudgement } from "./initialJudgement.js";
import { judgeVersion } from "./judgeVersion.js";
import { planRollout } from "./planRollout.js";
import type { RolloutView } from "./RolloutView.js";
import { sumCounts } from "./sumCounts.js";

type Presence = { readonly hasNew: boolean; readonly hasOld: boolean; };

/** What the leader of one rollout knows, beyond what every VM knows. */
type Leadership = {
    /** Applies a VM's totals; they replace those that it reported before. */
    readonly receiveReport: (report: CountsReport) => void;
    /** Plans the next phase from the answers that were reported so far. */
    readonly plan: (view: RolloutView, presence: Presence) => ReturnType<typeof planRollout>;
    /** Inputs of the last plan, for the log. */
    readonly evidence: () => object;
};

/** Starts to lead a rollout. A new leader starts from the totals that all VMs report again. */
export function createLeadership(clock: Clock): Leadership {
    const reports = new Map<VmId, CountsReport["rows"]>();
    const state = {
        judgement: initialJudgement,
        phase: undefined as RolloutView["phase"],
        phaseSince: clock.now() as Millis,
    };
    return {
        receiveReport: ({ vm, rows }) => void reports.set(vm, rows),
        plan: (view, presence) => {
            if (view.phase !== state.phase) {
                state.phase = view.phase;
                state.phaseSince = clock.now();
            }
            state.judgement = judgeVersion(state.judgement, sumCounts([...reports.values()].flat()));
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
