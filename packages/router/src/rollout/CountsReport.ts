import { Incarnation, ServiceName, VmId } from "@azureshunt/core";
import { z } from "zod";

import type { RouteName } from "../configuration/RouteName.js";

const Count = z.number().int().nonnegative();

const Row = z.object({
    route: z.string().transform(name => name as RouteName),
    newAnswers: Count,
    newBad: Count,
    oldAnswers: Count,
    oldBad: Count,
});

/** What a VM reports to the leader of a rollout: the totals of its process since the order. */
const CountsReport = z.object({
    vm: VmId,
    /** The process whose totals these are; earlier builds do not send it. */
    incarnation: Incarnation.optional(),
    service: ServiceName,
    /** The order's `id`. */
    order: z.number().int(),
    rows: z.array(Row).readonly(),
});

type CountsReport = z.infer<typeof CountsReport>;

export { CountsReport };
