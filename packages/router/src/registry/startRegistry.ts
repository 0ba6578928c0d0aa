import type { Clock, EndpointName, Millis } from "@azureshunt/core";
import type { Metrics } from "@azureshunt/telemetry";
import type { Logger } from "pino";

import type { EndpointBook } from "../placement/EndpointBook.js";
import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { StorePort } from "../ports/StorePort.js";
import { followTopic } from "../store/followTopic.js";
import type { EndpointEntry } from "./EndpointEntry.js";

type RegistryParts = {
    readonly clock: Clock;
    readonly store: StorePort;
    readonly wire: DirectoryWire;
    readonly book: EndpointBook;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** How long an endpoint that leaves still takes requests. */
    readonly leavingMs: () => Millis;
};

/**
 * Part of the time for which a leaving endpoint still takes requests that passes between two reads. Endpoints write several
 * times a second in all, so waiting for a record would cost a call each time; the rest is for a read that is repeated, and
 * for requests on their way.
 */
const READ_EVERY_PART = 0.35;
const TICK_MS = 500;

/** Follows the endpoints' entries in the store. */
export function startRegistry(parts: RegistryParts): { readonly stop: () => void; } {
    const { wire, book, logger, metrics } = parts;

    /** An entry that can't be read names no endpoint to use; it is counted and logged. */
    const decode = (key: string, value: Buffer | undefined): EndpointEntry | undefined =>
        value === undefined ? undefined : wire.decodeEntry(key, value).caseOf({
            Left: fault => {
                metrics.count("azureshunt_unreadable_total", "Records that could not be read.", { what: "entry" });
                logger.warn({ key, fault }, "An endpoint's entry cannot be read.");
                return undefined;
            },
            Right: entry => entry,
        });

    const stopFollowing = followTopic({
        store: parts.store,
        clock: parts.clock,
        topic: wire.registryTopic,
        waitMs: 0,
        pauseMs: () => READ_EVERY_PART * parts.leavingMs(),
        onNews: ({ records, isWhole }) => {
            const changes = records.map(({ key, value }) => ({ name: key as EndpointName, entry: decode(key, value) }));
            book.tellRegistry(
                isWhole
                    ? { kind: "whole", entries: changes.flatMap(({ entry }) => entry === undefined ? [] : [entry]) }
                    : { kind: "changes", changes },
            );
        },
        onFailure: kind => {
            metrics.count("azureshunt_store_failures_total", "Calls to the store that failed.", {
                topic: "registry",
                kind,
            });
        },
    });
    const timer = setInterval(() => book.tellRegistry({ kind: "tick" }), TICK_MS);
    return {
        stop: () => {
            stopFollowing();
            clearInterval(timer);
        },
    };
}
