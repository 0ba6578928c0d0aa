import { OrganisationId } from "@azureshunt/core";
import { z } from "zod";

/** The message `AllowanceRecall` of `peers.proto`. */
const RecallBody = z.object({ organisation: OrganisationId, waitedMs: z.number().min(0) });
type RecallBody = z.infer<typeof RecallBody>;

export { RecallBody };
