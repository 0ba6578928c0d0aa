import type { Clock, Millis, VmId } from "@azureshunt/core";
import type { Logger } from "pino";

import type { StorePort } from "../ports/StorePort.js";
import { announcementDue } from "./announcementDue.js";
import type { createMembership } from "./createMembership.js";
import { decodeListedVm } from "./decodeListedVm.js";
import type { ListedVm } from "./ListedVm.js";

type AnnouncingParts = {
    readonly clock: Clock;
    readonly store: StorePort;
    readonly self: ListedVm;
    /** Whether all VMs start for the first time. */
    readonly isFirstStart: boolean;
    readonly membership: Pick<ReturnType<typeof createMembership>, "isRelay" | "isAlone" | "list">;
    readonly logger: Logger;
};

/** Reads and writes the VM list in the store on behalf of this VM. */
type Announcing = {
    /** Starts a read or a write if one is due; called several times a second. */
    readonly tick: () => void;
};

const VMS_TOPIC = "keyed.azureshunt.vms";
/**
 * Minimum time between two calls of the store, also if it does not answer; meanwhile VMs find each other through seeds
 * and relays.
 */
const RETRY_MS: Millis = 1_000;

/** Starts to read the VM list in the store, and to write this VM into it, whenever that is due. */
export function startAnnouncing(parts: AnnouncingParts): Announcing {
    const { clock, store, self, membership, logger } = parts;
    const { address, failureDomain, capacity } = self;
    const own = Buffer.from(JSON.stringify({ address, failureDomain, capacity }));
    const startedAt = clock.now();
    const state = {
        relaySince: undefined as Millis | undefined,
        listedAt: -Infinity as Millis,
        writtenAt: -Infinity as Millis,
        triedAt: -Infinity as Millis,
        isBusy: false,
    };

    const list = async (): Promise<void> => {
        const page = await store.newest(VMS_TOPIC);
        page.caseOf({
            Left: failure => logger.info({ failure: failure.kind }, "Reading the VM list failed."),
            Right: ({ records }) => {
                state.listedAt = clock.now();
                const isSelfListed = records.some(({ key, value }) => key === self.vm && value?.equals(own) === true);
                state.writtenAt = isSelfListed ? Math.max(state.writtenAt, startedAt) : state.writtenAt;
                membership.list(
                    records.flatMap(({ key, value }) =>
                        value === undefined ? [] : decodeListedVm(key as VmId, value) ?? []
                    ),
                );
            },
        });
    };
    const put = async (): Promise<void> => {
        const written = await store.put(VMS_TOPIC, self.vm, own);
        state.writtenAt = written.isRight() ? clock.now() : state.writtenAt;
        written.ifLeft(failure => logger.warn({ failure: failure.kind }, "Registering this VM in the VM list failed."));
    };
    const tick = (): void => {
        const now = clock.now();
        state.relaySince = membership.isRelay() ? state.relaySince ?? now : undefined;
        if (state.isBusy || now - state.triedAt < RETRY_MS) {
            return;
        }
        const due = announcementDue({
            upMs: now - startedAt,
            isFirstStart: parts.isFirstStart,
            relayForMs: now - (state.relaySince ?? now),
            isAlone: membership.isAlone(),
            listedMs: now - state.listedAt,
            writtenMs: now - state.writtenAt,
        });
        if (due === undefined) {
            return;
        }
        state.isBusy = true;
        state.triedAt = now;
        void (due === "list" ? list() : put()).finally(() => {
            state.isBusy = false;
        });
    };
    tick();
    return { tick };
}
