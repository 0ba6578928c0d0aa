import type { TunnelEnd } from "@azureshunt/completion";
import { z } from "zod";

const end = ["endpoint-closed", "vm-closed", "reset", "idle", "stopped"] as const satisfies readonly TunnelEnd[];

/** A carrier's answer to the question how a tunnel ended. */
const TunnelEndAnswer = z.object({ end: z.enum(end) });
type TunnelEndAnswer = z.infer<typeof TunnelEndAnswer>;

export { TunnelEndAnswer };
