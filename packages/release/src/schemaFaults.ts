import { z } from "zod";

import { describeValue } from "./describeValue.js";
import type { FieldPath } from "./FieldPath.js";
import type { NoteFault } from "./NoteFault.js";

const valueAt = (root: unknown, path: FieldPath): unknown =>
    path.reduce<unknown>(
        (value, step) =>
            typeof value === "object" && value !== null ? (value as Record<string | number, unknown>)[step] : undefined,
        root,
    );

const unwrap = (schema: z.ZodTypeAny): z.ZodTypeAny => {
    if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
        return unwrap(schema._def.innerType as z.ZodTypeAny);
    }
    return schema instanceof z.ZodEffects ? unwrap(schema.innerType() as z.ZodTypeAny) : schema;
};

const schemaAt = (schema: z.ZodTypeAny, path: FieldPath): z.ZodTypeAny | undefined =>
    path.reduce<z.ZodTypeAny | undefined>((outer, step) => {
        const at = outer === undefined ? undefined : unwrap(outer);
        if (at instanceof z.ZodObject) {
            return (at.shape as Record<string, z.ZodTypeAny>)[String(step)];
        }
        return at instanceof z.ZodArray ? at.element as z.ZodTypeAny : undefined;
    }, schema);

const fieldsAt = (schema: z.ZodTypeAny, path: FieldPath): string => {
    const at = schemaAt(schema, path);
    const object = at === undefined ? undefined : unwrap(at);
    return object instanceof z.ZodObject ? Object.keys(object.shape as object).join(", ") : "no such field";
};

const boundText = (issue: z.ZodTooSmallIssue | z.ZodTooBigIssue): string => {
    const isLower = issue.code === "too_small";
    const limit = isLower ? issue.minimum : issue.maximum;
    const unit = issue.type === "string" ? " characters" : issue.type === "array" ? " entries" : "";
    if (issue.inclusive) {
        return `${isLower ? "at least" : "at most"} ${limit}${unit}`;
    }
    return `${isLower ? "more" : "less"} than ${limit}${unit}`;
};

const allowedBy = (issue: z.ZodIssue): string => {
    if (issue.code === "invalid_type") {
        return `a value of type ${issue.expected}`;
    }
    if (issue.code === "invalid_enum_value") {
        return issue.options.join(", ");
    }
    if (issue.code === "too_small" || issue.code === "too_big") {
        return boundText(issue);
    }
    return issue.message;
};

const faultsOf = (schema: z.ZodTypeAny, root: unknown, issue: z.ZodIssue): readonly NoteFault[] => {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({
            path: [...issue.path, key],
            found: "an unknown field",
            allowed: fieldsAt(schema, issue.path),
        }));
    }
    const found = describeValue(valueAt(root, issue.path), issue.path);
    return [{ path: issue.path, found, allowed: allowedBy(issue) }];
};

/**
 * Lists all faults of a value against a schema.
 *
 * @param error result of parsing `value` with `schema`
 */
export function schemaFaults(schema: z.ZodTypeAny, value: unknown, error: z.ZodError): readonly NoteFault[] {
    return error.issues.flatMap(issue => faultsOf(schema, value, issue));
}
