import { randomUUID } from "node:crypto";

import type { RecordId } from "@azureshunt/core";
import type { Configuration, ReleaseNote, Verdict } from "@azureshunt/release";
import { foldRecord, initialState, releaseRecord } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { ReleasePort } from "../ports/ReleasePort.js";

const STREAM = "configuration";
const PAGE = 256;
const WAIT_MS = 1_000;
const RETRY_MS = 200;
const ACCEPT_POLL_MS = 10;
const ACCEPT_BOUND_MS = 3_000;

type Listener = (cfg: Configuration) => void;

/** Follows the configuration stream of the platform's log and folds it. */
export function createReleasePort(
    ctx: Omit<DaemonContext, "release">,
): ReleasePort & { readonly accept: (note: ReleaseNote) => Promise<Verdict | undefined>; readonly stop: () => void; } {
    const known = { state: initialState, confirmedAt: ctx.clock.now() };
    const listeners = new Set<Listener>();
    const stopped = new AbortController();
    const current = (): Configuration | undefined =>
        known.state.configuration.revision === 0 ? undefined : known.state.configuration;

    const follow = async (): Promise<void> => {
        const page = await ctx.log.read(STREAM, known.state.offset, PAGE, WAIT_MS, stopped.signal);
        const before = known.state.configuration;
        page.ifRight(({ records }) => {
            known.confirmedAt = ctx.clock.now();
            known.state = records.reduce(
                (state, record) => foldRecord(state, { ...record, data: record.data }).state,
                known.state,
            );
        });
        if (known.state.configuration !== before) {
            listeners.forEach(listener => listener(known.state.configuration));
        }
        if (!stopped.signal.aborted) {
            setTimeout(() => void follow(), page.isLeft() ? RETRY_MS : 0);
        }
    };
    void follow();

    const accept = async (note: ReleaseNote): Promise<Verdict | undefined> => {
        const id = randomUUID() as string as RecordId;
        await ctx.log.append(STREAM, [{ id, data: releaseRecord(note) }]);
        const giveUpAt = ctx.clock.now() + ACCEPT_BOUND_MS;
        while (!known.state.recent.has(id) && ctx.clock.now() < giveUpAt) {
            await new Promise(resolve => setTimeout(resolve, ACCEPT_POLL_MS));
        }
        return known.state.recent.get(id);
    };

    return {
        current,
        accept,
        subscribe: onChange => {
            listeners.add(onChange);
            return () => void listeners.delete(onChange);
        },
        staleness: () => ctx.clock.now() - known.confirmedAt,
        stop: () => stopped.abort(),
    };
}
