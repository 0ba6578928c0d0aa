import type { Millis } from "@azureshunt/core";

import type { EndpointTable } from "../placement/EndpointTable.js";
import { modelInRow } from "../placement/modelInRow.js";
import type { EngineVersionRow } from "./EngineVersionRow.js";

type Versions = ReturnType<EndpointTable["engineVersions"]>;

/** Time for which each beacon lists a new version, so that a lost beacon does no harm. */
const RECENT_MS: Millis = 3_000;
/** Maximum number of other versions per beacon, in rotation. */
const MAX_REPEATED = 8;

/**
 * Creates a function that selects which engines' versions a beacon lists: those that this VM saw change lately, and
 * some of the others in rotation.
 *
 * If dozens of VMs each sent all versions of dozens of engines, which rarely change, these would be the larger part of
 * each beacon. A VM that missed a change still receives it from whichever peer's rotation reaches it first.
 */
export function createVersionSelector(
    { engineVersions, entryOf }: Pick<EndpointTable, "engineVersions" | "entryOf">,
    now: () => Millis,
): () => readonly EngineVersionRow[] {
    const rowOf = (
        { endpoint, weights: { model, version } }: Versions[number],
    ): EngineVersionRow => [endpoint, version, ...modelInRow(entryOf(endpoint), model)];
    const rotation = { next: 0 };
    return () => {
        const all = engineVersions();
        const since = now() - RECENT_MS;
        const recent = all.filter(({ learnedAt }) => learnedAt > since);
        const others = all.filter(({ learnedAt }) => learnedAt <= since);
        const from = others.length === 0 ? 0 : rotation.next % others.length;
        const repeated = [...others.slice(from), ...others.slice(0, from)].slice(0, MAX_REPEATED);
        rotation.next = from + repeated.length;
        return [...recent, ...repeated].map(rowOf);
    };
}
