import { setTimeout as delay } from "node:timers/promises";

import type { MembershipEvent } from "@azureshunt/membership";
import { MembershipRecord } from "@azureshunt/membership";

import type { MembershipParts } from "./MembershipParts.js";

const STREAM = "membership";
const PAGE_RECORDS = 500;
const WAIT_MS = 1_000;
const RETRY_MS = 400;

/** Reads the log stream of the membership from its start on, until the signal ends it. */
export async function followMembershipLog(
    parts: Pick<MembershipParts, "log" | "random" | "logger">,
    tell: (event: MembershipEvent) => void,
    signal: AbortSignal,
): Promise<void> {
    const logger = parts.logger("membership");
    const pause = (): Promise<void> =>
        delay(RETRY_MS * (0.5 + parts.random()), undefined, { signal }).catch(() => undefined);

    const readFrom = async (from: number): Promise<number> => {
        const page = await parts.log.read(STREAM, from, PAGE_RECORDS, WAIT_MS, signal);
        return page.caseOf<Promise<number>>({
            Left: async failure => {
                await pause();
                return failure.kind === "expired" ? failure.start : from;
            },
            Right: async ({ records, end }) => {
                const next = (records.at(-1)?.offset ?? from - 1) + 1;
                const parsed = records.flatMap(({ offset, data }) => {
                    const record = MembershipRecord.safeParse(data);
                    if (!record.success) {
                        logger.warn({ offset }, "Skipped a record that is not understood.");
                    }
                    return record.success ? [{ offset, record: record.data }] : [];
                });
                tell({ kind: "read", from, next, atEnd: next >= end, records: parsed });
                return next;
            },
        });
    };

    const position = { from: 0 };
    while (!signal.aborted) {
        position.from = await readFrom(position.from);
    }
}
