import type { Clock, Millis } from "@azureshunt/core";

import { crashLimits } from "./crashLimits.js";
import type { Suspect } from "./Suspect.js";
import type { SuspectKey } from "./SuspectKey.js";
import type { SuspectRows } from "./SuspectRows.js";

/** What a VM sends to the others about deaths and answers, for a short time after it has learned of them. */
type SuspectOutbox = {
    /** @param diedAt when a VM saw the death */
    readonly addDeath: (death: string, suspects: readonly Suspect[], diedAt: Millis) => void;
    readonly addAnswer: (key: SuspectKey, answeredAt: Millis) => void;
    readonly rows: () => Pick<SuspectRows, "deaths" | "suspectParts" | "answeredParts">;
};

type SentSuspect = Suspect & {
    readonly death: string;
    readonly diedAt: Millis;
    /** When this VM began to send it. */
    readonly sentSince: Millis;
};

const isPart = ({ stage }: Suspect): boolean => stage !== "request";

/** Creates an empty outbox. */
export function createSuspectOutbox(clock: Clock): SuspectOutbox {
    const state = { suspects: [] as readonly SentSuspect[] };
    const answers = new Map<SuspectKey, { readonly answeredAt: Millis; readonly sentSince: Millis; }>();
    const isDue = (suspect: SentSuspect): boolean =>
        clock.now() - suspect.sentSince
            < (isPart(suspect) ? crashLimits.sendPartsForMs : crashLimits.sendRequestsForMs);
    return {
        addDeath: (death, suspects, diedAt) => {
            const sentSince = clock.now();
            const added = suspects.map(suspect => ({ ...suspect, death, diedAt, sentSince }));
            const due = [...state.suspects, ...added].filter(isDue);
            state.suspects = [
                ...due.filter(each => !isPart(each)).slice(-crashLimits.rows),
                ...due.filter(isPart).slice(-crashLimits.rows),
            ];
        },
        addAnswer: (key, answeredAt) => {
            answers.delete(key);
            answers.set(key, { answeredAt, sentSince: clock.now() });
            [...answers.keys()].slice(0, -crashLimits.rows).forEach(each => answers.delete(each));
        },
        rows: () => {
            const now = clock.now();
            const due = state.suspects.filter(isDue);
            return {
                deaths: due.filter(each => !isPart(each)).map(({ key, death }) => [key, death]),
                suspectParts: due.filter(isPart).map(({ key, death, stage, diedAt }) =>
                    [key, death, stage === "begun", Math.round(now - diedAt)] as const
                ),
                answeredParts: [...answers]
                    .filter(([, { sentSince }]) => now - sentSince < crashLimits.sendPartsForMs)
                    .map(([key, { answeredAt }]) => [key, Math.round(now - answeredAt)]),
            };
        },
    };
}
