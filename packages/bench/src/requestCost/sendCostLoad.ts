import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

import type { CostKind } from "./CostKind.js";
import { costShape } from "./costShape.js";

type LoadPlan = {
    readonly kind: CostKind;
    /** `host:port` that requests are sent to. */
    readonly address: string;
    readonly perSecond: number;
    readonly requests: number;
};

/** What the callers of a run saw. */
type LoadResult = {
    /** Answers that were complete; streams with all events in order. */
    readonly answered: number;
    /** Milliseconds from sending to the first bytes of the body, in the order of sending. */
    readonly firstByteMs: readonly number[];
};

const MS_PER_SECOND = 1_000;
const DEADLINE_MS = 3_000;
const OK = 200;
const sent = { requests: 0 };

const headersFor = (kind: CostKind, body: string): Readonly<Record<string, string>> => {
    sent.requests += 1;
    const id = `${process.pid}-${sent.requests}`;
    return {
        "host": costShape.host,
        "content-type": "application/json",
        "content-length": String(body.length),
        "x-azureshunt-request-id": id,
        "x-azureshunt-key": costShape.key,
        "x-azureshunt-deadline-ms": String(DEADLINE_MS),
        ...(kind === "plain" ? {} : {
            "x-azureshunt-model": costShape.model,
            "x-azureshunt-token-usage": `${costShape.promptTokens},${costShape.outputTokens}`,
            "x-azureshunt-prompt-prefix": `shared:${costShape.sharedTokens},${id}:${
                costShape.promptTokens - costShape.sharedTokens
            }`,
        }),
    };
};

const isWhole = (kind: CostKind, text: string): boolean => {
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    return kind === "plain"
        ? text.length > costShape.requestBytes
        : ids.length === costShape.events && ids.every((id, i) => id === i);
};

const sendOne = ({ kind, address }: LoadPlan): Promise<number | undefined> =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const path = kind === "plain" ? costShape.plainPath : costShape.streamPath;
        const body = "b".repeat(costShape.requestBytes);
        const sentAt = performance.now();
        const req = request(
            { host, port, path, method: "POST", headers: headersFor(kind, body), agent: false },
            res => {
                const seen = { firstMs: undefined as number | undefined, text: "" };
                res.on("data", (chunk: Buffer) => {
                    seen.firstMs ??= performance.now() - sentAt;
                    seen.text += chunk.toString("latin1");
                });
                res.on("error", () => resolve(undefined));
                res.on("end", () =>
                    resolve(
                        res.complete && res.statusCode === OK && isWhole(kind, seen.text)
                            ? seen.firstMs
                            : undefined,
                    ));
            },
        );
        req.on("error", () => resolve(undefined));
        req.end(body);
    });

/** Sends requests at a steady rate, each on a new connection, and waits for their answers. */
export async function sendCostLoad(plan: LoadPlan): Promise<LoadResult> {
    const startedAt = performance.now();
    const times = await Promise.all(
        Array.from({ length: plan.requests }, async (_, i) => {
            await delay(Math.max(0, startedAt + i * MS_PER_SECOND / plan.perSecond - performance.now()));
            return sendOne(plan);
        }),
    );
    const firstByteMs = times.filter(ms => ms !== undefined);
    return { answered: firstByteMs.length, firstByteMs };
}
