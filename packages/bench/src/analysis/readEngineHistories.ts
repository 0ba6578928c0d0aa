import type { EngineEntry } from "@azureshunt/standins";
import { request } from "undici";

import type { EngineHistory } from "./EngineHistory.js";

/** An engine stand-in. */
type EngineAddress = { readonly name: string; readonly url: string; };

/** Asks engines for their histories. */
export function readEngineHistories(engines: readonly EngineAddress[]): Promise<readonly EngineHistory[]> {
    return Promise.all(engines.map(async ({ name, url }) => {
        const answer = await request(`${url}/history`);
        const { entries } = await answer.body.json() as { readonly entries: readonly EngineEntry[]; };
        return { engine: name, entries };
    }));
}
