import type { RequestId } from "@azureshunt/core";

import type { ChoiceRecord } from "./ChoiceRecord.js";

/** Requests that are remembered; the oldest is forgotten first. */
const MAX_REQUESTS = 1_000;

/** Remembers the choices made for the newest requests. */
export class ChoiceLog {
    readonly #choices = new Map<RequestId, readonly ChoiceRecord[]>();

    /** Adds one choice of a request; a request that is tried again has several. */
    add(id: RequestId, choice: ChoiceRecord): void {
        this.#choices.set(id, [...this.#choices.get(id) ?? [], choice]);
        const oldest = this.#choices.keys().next();
        if (this.#choices.size > MAX_REQUESTS && oldest.done !== true) {
            this.#choices.delete(oldest.value);
        }
    }

    /** The choices of a request in order; undefined when it is not remembered. */
    get(id: RequestId): readonly ChoiceRecord[] | undefined {
        return this.#choices.get(id);
    }
}
