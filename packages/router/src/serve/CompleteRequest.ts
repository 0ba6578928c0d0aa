import type { Millis } from "@azureshunt/core";

import type { HeapAccount } from "../flow/HeapAccount.js";
import type { ServedRequest } from "./ServedRequest.js";

/** A request that has been read completely. */
export type CompleteRequest = Pick<ServedRequest, "caller" | "body" | "arrivedAt" | "account"> & {
    /** What the heap holds for the request. */
    readonly heap: HeapAccount;
    /** Bounds of the time for which it had waited unread in this VM by then. */
    readonly waited: { readonly least: Millis; readonly most: Millis; };
};
