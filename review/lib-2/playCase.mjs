import { createWriteStream } from "node:fs";

import { startStore } from "./startStore.mjs";

const MAX_MS = 110_000;
const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;

/**
 * Plays a case: runs it with a store and a record, ends all that it started, and exits with 1 if the rule was broken, 0 if it
 * held and 2 if the case could not run.
 *
 * @param play returns `{ isBroken, summary }`; `onEnd` registers what ends a part of the case
 */
export const playCase = async play => {
    const hasTrouble = process.env.TROUBLE !== "0";
    const startedAt = Date.now();
    const out = createWriteStream("record.txt");
    const record = entry => void out.write(`${JSON.stringify({ ms: Date.now() - startedAt, ...entry })}\n`);
    const ends = [];
    const onEnd = end => void ends.unshift(end);
    const finish = async (code, summary) => {
        clearTimeout(timer);
        record({ event: "end", code, summary });
        for (const end of ends.splice(0)) {
            await end();
        }
        await new Promise(resolve => out.end(resolve));
        console.log(`${code === BROKEN ? "broken" : code === HELD ? "held" : "not run"}: ${summary}`);
        process.exit(code);
    };
    const timer = setTimeout(() => void finish(NOT_RUN, "took too long"), MAX_MS);
    ["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => void finish(NOT_RUN, signal)));
    try {
        record({ event: "start", hasTrouble });
        const store = await startStore();
        onEnd(store.stop);
        const { isBroken, summary } = await play({ store, record, onEnd, hasTrouble });
        await finish(isBroken ? BROKEN : HELD, summary);
    }
    catch (err) {
        await finish(NOT_RUN, String(err.stack ?? err));
    }
};
