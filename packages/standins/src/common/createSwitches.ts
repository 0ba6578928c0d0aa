import type { z } from "zod";

import { HttpError } from "./HttpError.js";
import type { Switches } from "./Switches.js";

type Values<Shape extends z.ZodRawShape> = z.infer<z.ZodObject<Shape, "strict">>;

/**
 * Creates the switches of a stand-in.
 *
 * @param schema strict object in which each switch has a default value
 * @param onChange called after each change, with the new and the previous values
 */
export function createSwitches<Shape extends z.ZodRawShape>(
    schema: z.ZodObject<Shape, "strict">,
    onChange: (next: Values<Shape>, previous: Values<Shape>) => void = () => undefined,
): Switches<Values<Shape>> {
    let current = schema.parse({});
    const update = (changes: unknown): void => {
        const merged = { ...current, ...(changes as object) };
        const checked = schema.safeParse(merged);
        if (!checked.success) {
            const issues = checked.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
            const known = Object.keys(schema.shape).join(", ");
            throw new HttpError(400, `${issues.join("; ")}; switches: exit, silent, ${known}`);
        }
        const before = current;
        current = checked.data;
        onChange(current, before);
    };
    return { current: () => current, update };
}
