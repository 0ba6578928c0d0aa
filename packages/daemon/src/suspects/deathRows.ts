import { deathsOf } from "@azureshunt/request";
import type { RequestFingerprint, SuspectState } from "@azureshunt/request";

/** The unexplained deaths that a request was present at, as VMs tell them to one another. */
export function deathRows(state: SuspectState, request: RequestFingerprint): readonly object[] {
    return deathsOf(state, request).map(({ id, endpoint, running, complete }) => ({
        id,
        endpoint,
        running,
        gathered: true,
        complete,
    }));
}
