import type { EndpointName } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

type LogParts = {
    readonly logger: Logger;
    readonly metrics: Metrics;
};

/** Headers that are logged at most, as endpoints may send any text. */
const MAX_LOGGED = 50;
/** Characters of a header that are logged at most. */
const MAX_LENGTH = 100;

const nameOf = (header: string): string => header.slice(0, MAX_LENGTH).split(":")[0] ?? "";

/** Creates a function that logs each header of endpoints' answers once that this router ignores. */
export function createIgnoredHeaderLog({ logger, metrics }: LogParts) {
    const logged = new Set<string>();
    return (endpoint: EndpointName, headers: readonly string[]): void => {
        headers.forEach(header => {
            const isNew = logged.size < MAX_LOGGED && !logged.has(header);
            if (isNew) {
                logged.add(header);
            }
            metrics.count("azureshunt_ignored_headers_total", "Headers of endpoints' answers that were ignored.", {
                header: logged.has(header) ? nameOf(header) : "other",
            });
            if (isNew) {
                logger.warn(
                    { endpoint, header: header.slice(0, MAX_LENGTH) },
                    "Ignored a header of an endpoint's answer.",
                );
            }
        });
    };
}
