import type { Clock, Millis } from "@azureshunt/core";

import { countedDeaths } from "./countedDeaths.js";
import type { CrashEvent } from "./CrashEvent.js";
import { crashLimits } from "./crashLimits.js";
import { createAnswerMemory } from "./createAnswerMemory.js";
import { createSuspectOutbox } from "./createSuspectOutbox.js";
import { emptyHistory } from "./emptyHistory.js";
import { isRecorded } from "./isRecorded.js";
import { stepCrashHistory } from "./stepCrashHistory.js";
import type { Suspect } from "./Suspect.js";
import type { SuspectKey } from "./SuspectKey.js";
import type { SuspectRows } from "./SuspectRows.js";

type SuspectsParts = {
    readonly clock: Clock;
    /** Whether this VM sends on what it learns from others. */
    readonly isRelay: () => boolean;
    /** Whether this VM, and no other one, probes whether endpoints still crash on a suspect. */
    readonly isProber: (key: SuspectKey) => boolean;
    /** Called when other VMs should learn at once what this one has learned. */
    readonly onUrgent: () => void;
    readonly onQuarantined: (key: SuspectKey, deaths: readonly string[], source: "death" | "peer") => void;
    readonly onReleased: (key: SuspectKey) => void;
};

/** What one VM knows of requests and prompt parts that crash endpoints. */
type Suspects = {
    /** Whether anything is quarantined. */
    readonly hasQuarantined: () => boolean;
    /** Whether a request with these keys is kept from endpoints now. */
    readonly isRefused: (keys: readonly SuspectKey[]) => boolean;
    /** Whether a request with these keys may be sent to an endpoint now; if it is a probe, this starts it. */
    readonly admit: (keys: readonly SuspectKey[]) => boolean;
    /** Whether one of these keys was at a death, and nothing shows that it was not the cause. */
    readonly isSuspect: (keys: readonly SuspectKey[]) => boolean;
    /** Whether one of these parts has not been answered lately, as far as this VM knows. */
    readonly areDoubtful: (parts: readonly SuspectKey[]) => boolean;
    /** The most deaths that count against one of these keys. */
    readonly deathsOf: (keys: readonly SuspectKey[]) => number;
    /** Records a death that this VM has seen. Parts that were answered lately are left out. */
    readonly recordDeath: (death: string, suspects: readonly Suspect[]) => void;
    /** Records that an endpoint has answered a prompt with these parts, and goes on serving. */
    readonly recordAnswered: (parts: readonly SuspectKey[]) => void;
    /** Applies what another VM has sent. */
    readonly receive: (rows: SuspectRows) => void;
    readonly rows: () => SuspectRows;
    /** Number of suspects and answers that are remembered. */
    readonly size: () => number;
    readonly tick: () => void;
};

const isPart = ({ stage }: Suspect): boolean => stage !== "request";

/** Creates the knowledge of a VM that has just started. */
export function createSuspects(parts: SuspectsParts): Suspects {
    const { clock } = parts;
    const memory = createAnswerMemory(crashLimits.answeredParts);
    const outbox = createSuspectOutbox(clock);
    const state = { history: emptyHistory };
    /** When this VM last let a request through that has a quarantined key. */
    const probes = new Map<SuspectKey, Millis>();

    const apply = (event: CrashEvent): void => {
        const before = state.history.quarantined;
        state.history = stepCrashHistory(state.history, event, clock.now());
        const { quarantined, accusations } = state.history;
        if (quarantined === before) {
            return;
        }
        [...quarantined.keys()].filter(key => !before.has(key)).forEach(key => {
            const source = event.kind === "quarantined" ? "peer" : "death";
            parts.onQuarantined(key, [...accusations.get(key)?.keys() ?? []], source);
        });
        [...before.keys()].filter(key => !quarantined.has(key)).forEach(key => {
            probes.delete(key);
            parts.onReleased(key);
        });
    };
    const isNew = (death: string, { key }: Suspect): boolean => !isRecorded(state.history, key, death, clock.now());
    /** Applies an answer; returns whether it changes what counts against its part. */
    const applyAnswer = (key: SuspectKey, answeredAt: Millis): boolean => {
        const { history } = state;
        apply({ kind: "answered", key, at: answeredAt });
        return !history.answers.has(key)
            || history.quarantined.has(key) !== state.history.quarantined.has(key)
            || countedDeaths(history, key) > countedDeaths(state.history, key);
    };
    /** Uses what this VM remembers of a part's answers, and sends it to the others if they may not know it. */
    const recall = (key: SuspectKey): void => {
        const answeredAt = memory.lastAt(key);
        if (answeredAt !== undefined && applyAnswer(key, answeredAt)) {
            outbox.addAnswer(key, answeredAt);
        }
    };
    const accuse = (death: string, suspects: readonly Suspect[], ageMs: Millis): void => {
        suspects.filter(isPart).forEach(({ key }) => recall(key));
        apply({ kind: "death", death, suspects, ageMs });
    };

    const isDoubtful = (key: SuspectKey): boolean =>
        clock.now() - (memory.lastAt(key) ?? -Infinity) > crashLimits.answeredWithinMs;
    const recordDeath: Suspects["recordDeath"] = (death, seen) => {
        const suspects = seen
            .filter(suspect => !isPart(suspect) || isDoubtful(suspect.key))
            .filter(suspect => isNew(death, suspect));
        if (suspects.length > 0) {
            accuse(death, suspects, 0);
            outbox.addDeath(death, suspects, clock.now());
            parts.onUrgent();
        }
    };
    const recordAnswered: Suspects["recordAnswered"] = keys => {
        const now = clock.now();
        keys.forEach(key => {
            memory.record(key, now);
            const { accusations, quarantined } = state.history;
            if ((accusations.has(key) || quarantined.has(key)) && applyAnswer(key, now)) {
                outbox.addAnswer(key, now);
                parts.onUrgent();
            }
        });
    };
    const receive: Suspects["receive"] = rows => {
        const now = clock.now();
        rows.answeredParts.forEach(([key, ageMs]) => {
            if (applyAnswer(key, now - ageMs) && parts.isRelay()) {
                outbox.addAnswer(key, now - ageMs);
                parts.onUrgent();
            }
        });
        const suspects: readonly (Suspect & { readonly death: string; readonly ageMs: Millis; })[] = [
            ...rows.deaths.map(([key, death]) => ({ key, death, stage: "request" as const, ageMs: 0 })),
            ...rows.suspectParts.map(([key, death, hasBegun, ageMs]) => ({
                key,
                death,
                stage: hasBegun ? "begun" as const : "unsettled" as const,
                ageMs,
            })),
        ];
        suspects.filter(each => isNew(each.death, each)).forEach(({ death, key, stage, ageMs }) => {
            accuse(death, [{ key, stage }], ageMs);
            if (parts.isRelay()) {
                outbox.addDeath(death, [{ key, stage }], now - ageMs);
                parts.onUrgent();
            }
        });
        rows.quarantined.filter(([key]) => !state.history.quarantined.has(key)).forEach(([key, forMs]) => {
            recall(key);
            // The VM that states it may not know that the part was answered; what counts against it comes with the deaths.
            if (!state.history.answers.has(key)) {
                apply({ kind: "quarantined", key, forMs });
            }
        });
    };
    const isProbeDue = (key: SuspectKey, until: Millis): boolean =>
        until - clock.now() < crashLimits.quarantineMs - crashLimits.probeAfterMs
        && clock.now() - (probes.get(key) ?? -Infinity) >= crashLimits.probeGapMs
        && parts.isProber(key);
    const untilOf = (key: SuspectKey): Millis => state.history.quarantined.get(key) ?? -Infinity;
    const isQuarantined = (key: SuspectKey): boolean => untilOf(key) > clock.now();
    const isRefused: Suspects["isRefused"] = keys =>
        keys.filter(isQuarantined).some(key => !isProbeDue(key, untilOf(key)));
    const admit: Suspects["admit"] = keys => {
        if (isRefused(keys)) {
            return false;
        }
        keys.filter(isQuarantined).forEach(key => probes.set(key, clock.now()));
        return true;
    };
    const deathsOf: Suspects["deathsOf"] = keys => Math.max(0, ...keys.map(key => countedDeaths(state.history, key)));
    const rows: Suspects["rows"] = () => ({
        ...outbox.rows(),
        quarantined: [...state.history.quarantined].slice(-crashLimits.rows)
            .map(([key, until]) => [key, until - clock.now()]),
    });
    const size = (): number => {
        const { accusations, answers, quarantined } = state.history;
        return accusations.size + answers.size + quarantined.size;
    };
    return {
        hasQuarantined: () => state.history.quarantined.size > 0,
        isRefused,
        admit,
        isSuspect: keys => deathsOf(keys) > 0,
        areDoubtful: keys => keys.some(isDoubtful),
        deathsOf,
        recordDeath,
        recordAnswered,
        receive,
        rows,
        size,
        tick: () => {
            if (size() > 0) {
                apply({ kind: "tick" });
            }
        },
    };
}
