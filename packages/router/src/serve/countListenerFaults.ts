import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

type OnListenerFault = (what: string, err: unknown) => void;

/** Returns, by the name of a listener, what counts and logs its errors. */
export function countListenerFaults(
    metrics: Pick<Metrics, "count">,
    logger: Pick<Logger, "error">,
): (listener: string) => OnListenerFault {
    return listener => (what, err) => {
        metrics.count("azureshunt_listener_faults_total", "Errors of listeners, each of one connection or request.", {
            listener,
            what,
        });
        logger.error({ listener, what, err }, "A connection or request failed by an error.");
    };
}
