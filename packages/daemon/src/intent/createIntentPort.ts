import { randomUUID } from "node:crypto";

import type { RecordId } from "@azureshunt/core";
import { refusalOf } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { IntentPort } from "../ports/IntentPort.js";
import type { RecordedAnswer } from "../ports/RecordedAnswer.js";

const STREAM = "intent-0";
const PAGE = 1_000;

type IntentData = { readonly key: string; readonly kind: "intent" | "outcome"; readonly answer?: RecordedAnswer; };

/** Admits a request that may not be repeated when its intent is the first one in the log for its key. */
export function createIntentPort(ctx: DaemonContext): IntentPort & { readonly stop: () => void; } {
    const stopped = new AbortController();

    const admit: IntentPort["admit"] = async call => {
        const target = call.target;
        const key = `${call.organisation} ${target.kind === "service" ? target.idempotencyKey ?? call.id : call.id}`;
        const id = randomUUID() as string as RecordId;
        const appended = await ctx.log.append(STREAM, [{ id, data: { key, kind: "intent" } }]);
        const page = await ctx.log.read(STREAM, 0, PAGE, 0, stopped.signal);
        if (appended.isLeft() || page.isLeft()) {
            return Left(refusalOf("log-unavailable"));
        }
        const records = page.map(({ records }) => records).orDefault([])
            .filter(record => (record.data as IntentData).key === key);
        const outcome = records.find(record => (record.data as IntentData).kind === "outcome");
        if (outcome !== undefined) {
            const { answer } = outcome.data as IntentData;
            return answer === undefined
                ? Left(refusalOf("intent-outcome-unknown"))
                : Right({ kind: "recorded", answer });
        }
        if (records[0]?.id !== id) {
            return Left(refusalOf("intent-running"));
        }
        const record = async (answer: RecordedAnswer | undefined): Promise<void> => {
            const data: IntentData = { key, kind: "outcome", ...answer === undefined ? {} : { answer } };
            await ctx.log.append(STREAM, [{ id: randomUUID() as string as RecordId, data }]);
        };
        return Right({ kind: "dispatch", begin: () => true, complete: record, withdraw: () => record(undefined) });
    };
    return { admit, stop: () => stopped.abort() };
}
