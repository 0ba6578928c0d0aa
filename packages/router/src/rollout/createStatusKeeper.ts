import type { Clock, Millis } from "@azureshunt/core";
import type { Logger } from "pino";

import type { DirectoryWire } from "../ports/DirectoryWire.js";
import type { StorePort } from "../ports/StorePort.js";
import type { RolloutEntry } from "./RolloutEntry.js";
import type { RolloutState } from "./RolloutState.js";

type StatusParts = {
    readonly clock: Clock;
    readonly store: Pick<StorePort, "newest" | "put">;
    readonly wire: Pick<DirectoryWire, "statusTopic" | "encodeRolloutStatus" | "decodeRolloutStatus">;
    /** Called with a final phase that the store has. */
    readonly onEnded: (entry: RolloutEntry, phase: Exclude<RolloutState, "running">) => void;
    readonly logger: Logger;
};

/** Reads and writes the status that operators see of a rollout. */
type StatusKeeper = {
    /** Reads how far an earlier leader got, as a rollout that has ended must not begin again. */
    readonly read: (entry: RolloutEntry) => Promise<void>;
    readonly write: (entry: RolloutEntry, status: RolloutState) => Promise<void>;
};

/** Time between two tries while the store does not answer. */
const RETRY_MS: Millis = 250;

/**
 * Creates the keeper of the statuses in the store.
 *
 * The store may carry out a write seconds after the leader gave it up. A status of before the end would then replace the
 * final one for good, and operators would stop the old endpoints, or keep both. So a status is written only where the
 * topic ends as it did when its writer read it: once a final status is in the store, no write of before can follow it,
 * of whichever leader.
 */
export function createStatusKeeper({ clock, store, wire, onEnded, logger }: StatusParts): StatusKeeper {
    const read: StatusKeeper["read"] = async entry => {
        const { service, version } = entry.view.order;
        entry.status.pending = "read";
        const page = await store.newest(wire.statusTopic);
        entry.status.pending = undefined;
        page.caseOf({
            Left: () => {
                entry.status.retryAt = clock.now() + RETRY_MS;
            },
            Right: ({ records, end }) => {
                const found = records
                    .map(({ key, value }) => value === undefined ? undefined : wire.decodeRolloutStatus(key, value))
                    .find(each => each?.service === service && each.version === version);
                entry.status.known = found?.state ?? "none";
                entry.status.end = end;
                if (found !== undefined && found.state !== "running") {
                    onEnded(entry, found.state);
                }
            },
        });
    };
    const write: StatusKeeper["write"] = async (entry, status) => {
        const { service, version } = entry.view.order;
        const { key, value } = wire.encodeRolloutStatus({ service, version, state: status });
        entry.status.pending = status;
        const written = await store.put(wire.statusTopic, key, value, entry.status.end);
        entry.status.pending = undefined;
        written.caseOf({
            Left: failure => {
                if (failure.kind === "moved") {
                    // Another status was written meanwhile: of another service, of another leader, or one given up.
                    entry.status.known = "unread";
                }
                else {
                    entry.status.retryAt = clock.now() + RETRY_MS;
                }
                logger.info({ service, status, failure: failure.kind }, "Writing the status of a rollout failed.");
            },
            Right: offset => {
                entry.status.known = status;
                entry.status.end = offset + 1;
                logger.info({ service, version, status }, "Status of a rollout written.");
                if (status === "completed") {
                    onEnded(entry, status);
                }
            },
        });
    };
    return { read, write };
}
