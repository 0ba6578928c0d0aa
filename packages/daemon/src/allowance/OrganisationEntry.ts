import type { Allowance, ChargePart, GrantAnswer, HandedBucket } from "@azureshunt/allowance";
import type { Millis, OrganisationId, Refusal, Tokens, VmId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** One organisation in use on this VM. Its fields change as events come. */
export type OrganisationEntry = {
    readonly organisation: OrganisationId;
    allowance: Allowance;
    /** Requests that wait, by the number that the aggregate knows them by. */
    readonly waiting: Map<number, (decided: Either<Refusal, readonly ChargePart[]>) => void>;
    /** What the event under way has answered, for the handler that told it. */
    answer: GrantAnswer | undefined;
    handed: { readonly to: VmId; readonly bucket: HandedBucket; } | undefined;
    wakesAt: Millis;
    /** Tokens charged, and requests refused, since the entry was made. */
    charged: Tokens;
    refused: number;
};
