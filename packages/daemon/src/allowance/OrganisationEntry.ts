import type { Allowance, ChargePart, GrantAnswer, HandedBucket } from "@azureshunt/allowance";
import type { Millis, OrganisationId, Refusal, Tokens, VmId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** One organisation in use on this VM. Its fields change with each event. */
export type OrganisationEntry = {
    readonly organisation: OrganisationId;
    allowance: Allowance;
    /** Callbacks of the waiting requests, by their number in the aggregate. */
    readonly waiting: Map<number, (decided: Either<Refusal, readonly ChargePart[]>) => void>;
    /** Answer to the ask that was last applied, for the handler that applied it; undefined if it was declined. */
    answer: GrantAnswer | undefined;
    /** Bucket that the last `hand-over` event gave up. */
    handed: { readonly to: VmId; readonly bucket: HandedBucket; } | undefined;
    /** Time for which the newest timer is set. */
    wakesAt: Millis;
    /** Tokens charged and requests refused since the entry was created. */
    charged: Tokens;
    refused: number;
};
