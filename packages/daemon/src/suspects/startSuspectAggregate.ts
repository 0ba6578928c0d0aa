import type { Clock, Millis, Step } from "@azureshunt/core";
import {
    clearPossibleDeath,
    clearSuspect,
    noSuspects,
    quarantine,
    recordBrokenTry,
    recordDeath,
} from "@azureshunt/request";
import type { SuspectEffect, SuspectState } from "@azureshunt/request";
import type { ActorSystemRef } from "nact";

import { spawnAggregate } from "../actors/spawnAggregate.js";
import type { SuspectAggregate } from "./SuspectAggregate.js";
import type { SuspectEvent } from "./SuspectEvent.js";

type Message = { readonly event: SuspectEvent; readonly onApplied: () => void; };
type Effect = SuspectEffect | { readonly kind: "applied"; readonly onApplied: () => void; };

const reduceEvent = (state: SuspectState, event: SuspectEvent, now: Millis): Step<SuspectState, SuspectEffect> => {
    switch (event.kind) {
        case "broke":
            return { state: recordBrokenTry(state, event.request, event.death), effects: [] };
        case "settled":
            return { state: clearPossibleDeath(state, event.death), effects: [] };
        case "death": {
            const step = recordDeath(state, event.report, now);
            return event.gatheredHere ? step : { state: step.state, effects: [] };
        }
        case "quarantine":
            return { state: quarantine(state, event.request, now + event.remainingMs), effects: [] };
        case "cleared":
            return { state: clearSuspect(state, event.request), effects: [] };
    }
};

const reduce = (state: SuspectState, { event, onApplied }: Message, now: Millis): Step<SuspectState, Effect> => {
    const step = reduceEvent(state, event, now);
    return { state: step.state, effects: [...step.effects, { kind: "applied", onApplied }] };
};

/**
 * Starts the actor that keeps the state of suspects.
 *
 * @param onQuarantine called when deaths gathered by this VM show that a request crashes endpoints
 */
export function startSuspectAggregate(
    system: ActorSystemRef,
    clock: Clock,
    onQuarantine: (effect: SuspectEffect) => void,
): SuspectAggregate {
    const perform = (effect: Effect): void => effect.kind === "applied" ? effect.onApplied() : onQuarantine(effect);
    const { tell, state, stop } = spawnAggregate<SuspectState, Message, Effect>(system, {
        name: "suspects",
        initial: noSuspects,
        now: clock.now,
        reduce,
        perform,
    });
    return { state, stop, apply: event => new Promise<void>(onApplied => tell({ event, onApplied })) };
}
