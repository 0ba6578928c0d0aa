import { setTimeout as delay } from "node:timers/promises";

import type { MembershipEvent } from "@azureshunt/membership";
import { MembershipRecord } from "@azureshunt/membership";

import type { MembershipParts } from "./MembershipParts.js";

const STREAM = "membership";
const PAGE_RECORDS = 500;
const LONG_POLL_MS = 1_000;
const RETRY_MS = 400;

/** Reads the membership stream of the log from its start until the signal aborts, applying each page as an event. */
export async function followMembershipLog(
    parts: Pick<MembershipParts, "log" | "random" | "logger">,
    apply: (event: MembershipEvent) => void,
    signal: AbortSignal,
): Promise<void> {
    const logger = parts.logger("membership");
    const waitBeforeRetry = (): Promise<void> =>
        delay(RETRY_MS * (0.5 + parts.random()), undefined, { signal }).catch(() => undefined);

    const readFrom = async (from: number): Promise<number> => {
        const page = await parts.log.read(STREAM, from, PAGE_RECORDS, LONG_POLL_MS, signal);
        return page.caseOf<Promise<number>>({
            Left: async failure => {
                await waitBeforeRetry();
                return failure.kind === "expired" ? failure.start : from;
            },
            Right: async ({ records, end }) => {
                const next = (records.at(-1)?.offset ?? from - 1) + 1;
                const parsed = records.flatMap(({ offset, data }) => {
                    const record = MembershipRecord.safeParse(data);
                    if (!record.success) {
                        logger.warn({ offset }, "Skipped a membership record: unknown format.");
                    }
                    return record.success ? [{ offset, record: record.data }] : [];
                });
                apply({ kind: "read", from, next, atEnd: next >= end, records: parsed });
                return next;
            },
        });
    };

    const position = { from: 0 };
    while (!signal.aborted) {
        position.from = await readFrom(position.from);
    }
}
