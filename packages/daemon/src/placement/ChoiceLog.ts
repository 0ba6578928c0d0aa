import type { RequestId } from "@azureshunt/core";

import type { ChoiceRecord } from "./ChoiceRecord.js";

/** Requests kept; the oldest is removed first. */
const MAX_REQUESTS = 1_000;

/** Keeps the choices made for the newest requests. */
export class ChoiceLog {
    readonly #choices = new Map<RequestId, readonly ChoiceRecord[]>();

    /** Adds a choice of a request; a request that is retried has several. */
    add(id: RequestId, choice: ChoiceRecord): void {
        this.#choices.set(id, [...this.#choices.get(id) ?? [], choice]);
        const oldest = this.#choices.keys().next();
        if (this.#choices.size > MAX_REQUESTS && oldest.done !== true) {
            this.#choices.delete(oldest.value);
        }
    }

    /** Returns the choices of a request in order; undefined if the request is not kept. */
    get(id: RequestId): readonly ChoiceRecord[] | undefined {
        return this.#choices.get(id);
    }
}
