import type { VmId } from "@azureshunt/core";

/** Who confirmed a revision as the newest one: this VM's own read of the store, a relay's copy, or a peer's beacon. */
export type ConfirmationSource = "store" | "relay" | VmId;
