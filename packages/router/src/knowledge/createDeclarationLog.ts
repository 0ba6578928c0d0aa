import type { Clock, Millis } from "@azureshunt/core";
import type { Logger } from "pino";

import type { ReaderScope } from "../peers/ReaderScope.js";
import type { DeclarationEvent } from "./DeclarationEvent.js";
import type { DeclaredState } from "./DeclaredState.js";
import { describeConfirmation } from "./describeConfirmation.js";
import type { ReadOrigin } from "./ReadOrigin.js";

type WeightsEvent = Extract<DeclarationEvent, { readonly kind: "weights"; }>;

/** Writes what a VM learns of the operators' declarations; each change once, however often it is recorded. */
type DeclarationLog = {
    readonly recordEvent: (
        event: DeclarationEvent,
        before: DeclaredState,
        after: DeclaredState,
        origin: ReadOrigin | undefined,
    ) => void;
    readonly recordScope: (scope: ReaderScope) => void;
    readonly recordStore: (isAvailable: boolean) => void;
    /** @param failure kind of failure of the last read; `undefined` if it was answered */
    readonly recordRead: (failure: string | undefined, declaredState: DeclaredState) => void;
};

/** Corrections of a target's age up to this much are not logged, as beacons take different times. */
const LOGGED_CORRECTION_MS: Millis = 1_000;

/** Creates the log of the declarations. */
export function createDeclarationLog(logger: Logger, clock: Clock): DeclarationLog {
    const state = {
        scope: undefined as ReaderScope | undefined,
        isStoreAvailable: false,
        storeChangedAt: clock.now(),
        isReadFailing: false,
    };

    const recordWeights = ({ model, version }: WeightsEvent, before: DeclaredState, after: DeclaredState): void => {
        const ageIn = ({ weights }: DeclaredState): Millis => {
            const since = weights.get(model)?.find(target => target.version === version)?.knownSince;
            return Math.round(clock.now() - (since ?? clock.now()));
        };
        const [ageMs, ageBeforeMs] = [ageIn(after), ageIn(before)];
        if (version > (before.weights.get(model)?.[0]?.version ?? 0)) {
            logger.info({ model, version, ageMs }, "Target weights changed.");
        }
        else if (ageMs - ageBeforeMs > LOGGED_CORRECTION_MS) {
            logger.info({ model, version, ageMs, ageBeforeMs }, "Target weights were set earlier than known so far.");
        }
    };
    return {
        recordEvent: (event, before, after, origin) => {
            if (after.configuration !== before.configuration) {
                const [revision, previousRevision] = [after.configuration?.revision, before.configuration?.revision];
                logger.info({ revision, previousRevision, ...origin }, "Configuration in force.");
            }
            if (event.kind === "confirmed" && after.newestRevision > before.newestRevision) {
                logger.info({ by: event.by, ...describeConfirmation(after, clock.now()) }, "A newer revision exists.");
            }
            if (event.kind === "weights" && after.weights !== before.weights) {
                recordWeights(event, before, after);
            }
        },
        recordScope: scope => {
            if (scope !== state.scope) {
                logger.info({ scope, previousScope: state.scope }, "Scope of the reads changed.");
                state.scope = scope;
            }
        },
        recordStore: isAvailable => {
            if (isAvailable !== state.isStoreAvailable) {
                state.isStoreAvailable = isAvailable;
                const changedMs = Math.round(clock.now() - state.storeChangedAt);
                state.storeChangedAt = clock.now();
                logger.info(
                    { store: isAvailable, changedMs },
                    isAvailable ? "The store answers." : "The store does not answer.",
                );
            }
        },
        recordRead: (failure, declaredState) => {
            if (failure !== undefined && !state.isReadFailing) {
                logger.info(
                    { failure, scope: state.scope, ...describeConfirmation(declaredState, clock.now()) },
                    "Reading the declarations failed.",
                );
            }
            state.isReadFailing = failure !== undefined;
        },
    };
}
