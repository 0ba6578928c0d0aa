import { z } from "zod";

/** An order to an engine. */
const Order = z.object({
    orderId: z.string().min(1),
    fencing: z.number().int().min(0),
    action: z.enum(["load", "unload", "role"]),
    model: z.string().optional(),
    adapter: z.string().optional(),
    version: z.string().optional(),
    role: z.string().optional(),
});
type Order = z.infer<typeof Order>;

export { Order };
