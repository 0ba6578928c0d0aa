import { isSameRun } from "@azureshunt/completion";
import type { EndpointStatement } from "@azureshunt/completion";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointEntry } from "../registry/EndpointEntry.js";
import { askEndpoint } from "./askEndpoint.js";
import type { CancelSignal } from "./CancelSignal.js";

type ConfirmationParts = Parameters<typeof askEndpoint>[0] & {
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** An answer that ended as its connection was closed. */
type ClosedAnswer = {
    readonly entry: Pick<EndpointEntry, "name" | "address" | "bornAt">;
    /** Asks the peer that forwarded the connection whether the endpoint closed it; `undefined` on an own link. */
    readonly confirmCarrier: (() => Promise<boolean>) | undefined;
    /** Ends the wait, as nobody needs the answer any more. */
    readonly signal: CancelSignal;
};

/** Resolves with `false` once a signal is aborted. */
const untilAborted = (signal: CancelSignal): { readonly ended: Promise<false>; readonly release: () => void; } => {
    const state = { onAbort: (): void => undefined };
    const ended = new Promise<false>(resolve => {
        state.onAbort = () => resolve(false);
        if (signal.aborted) {
            state.onAbort();
        }
    });
    signal.addEventListener("abort", state.onAbort, { once: true });
    return { ended, release: () => signal.removeEventListener("abort", state.onAbort) };
};

/**
 * Creates the confirmation of ends that only a closed connection shows.
 *
 * If an endpoint is killed, or the VM that forwards its connection ends, the operating system closes the connection as
 * an endpoint does at the end of an answer, and a caller would get part of the answer as a success. To prevent this, both
 * are asked afterwards: the endpoint whether its process still runs, the VM whether the endpoint closed the connection.
 */
export function createEndConfirmation(parts: ConfirmationParts): (closed: ClosedAnswer) => Promise<boolean> {
    const { metrics, logger } = parts;
    return async ({ entry, confirmCarrier, signal }) => {
        const { ended, release } = untilAborted(signal);
        const state = { statement: undefined as EndpointStatement | undefined };
        const isRunning = async (): Promise<boolean> => {
            state.statement = await askEndpoint(parts, entry, signal);
            return isSameRun(state.statement, entry.bornAt);
        };
        const [isCarrierSure, isEndpointSure] = await Promise.all(
            [confirmCarrier?.() ?? Promise.resolve(true), isRunning()].map(asked => Promise.race([asked, ended])),
        );
        release();
        const end = signal.aborted
            ? "cancelled"
            : isCarrierSure !== true
            ? "carrier"
            : isEndpointSure !== true
            ? "endpoint"
            : "confirmed";
        metrics.count(
            "azureshunt_closed_answers_total",
            "Answers that ended as their connection was closed, by whether that is confirmed or who did not confirm it.",
            { end },
        );
        if (end === "carrier" || end === "endpoint") {
            logger.warn(
                { endpoint: entry.name, by: end, bornAt: entry.bornAt, statement: state.statement },
                "An answer counts as cut off: its connection was closed, which was not confirmed.",
            );
        }
        return end === "confirmed";
    };
}
