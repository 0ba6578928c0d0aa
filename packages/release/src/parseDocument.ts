import { type Either, Left, Right } from "purify-ts";
import { type Document, isMap, isNode, isScalar, isSeq, LineCounter, parseDocument as parseYaml } from "yaml";
import type { z } from "zod";

import type { FieldPath } from "./FieldPath.js";
import type { LocatedFault } from "./LocatedFault.js";
import type { NoteFault } from "./NoteFault.js";
import type { ParsedDocument } from "./ParsedDocument.js";
import { schemaFaults } from "./schemaFaults.js";
import { sortFaults } from "./sortFaults.js";

type NodePosition = { readonly node: unknown; readonly start: number; };

const startOf = (node: unknown, fallback: number): number => isNode(node) ? node.range?.[0] ?? fallback : fallback;

const childOf = ({ node, start }: NodePosition, step: string | number): NodePosition => {
    if (isMap(node)) {
        const pair = node.items.find(item => isScalar(item.key) && String(item.key.value) === String(step));
        return { node: pair?.value, start: pair === undefined ? start : startOf(pair.key, start) };
    }
    const entry = isSeq(node) && typeof step === "number" ? node.items[step] : undefined;
    return { node: entry, start: startOf(entry, start) };
};

const offsetOf = (doc: Document, path: FieldPath): number =>
    path.reduce<NodePosition>(childOf, { node: doc.contents, start: startOf(doc.contents, 0) }).start;

const toValue = (doc: Document): Either<string, unknown> => {
    try {
        return Right(doc.toJS() as unknown);
    }
    catch (err) {
        // Thrown for an undefined alias, and for aliases nested so deeply that the value would exhaust the memory.
        return Left(err instanceof Error ? err.message : String(err));
    }
};

/**
 * Parses a YAML or JSON text and validates it against a schema.
 *
 * @returns the parsed document, or all its faults at once, each with its line and column
 */
export function parseDocument<Schema extends z.ZodTypeAny>(
    schema: Schema,
    text: string,
): Either<readonly LocatedFault[], ParsedDocument<z.output<Schema>>> {
    const lineCounter = new LineCounter();
    const doc = parseYaml(text, { lineCounter, prettyErrors: false });
    const placeOf = (offset: number) => {
        const { line, col } = lineCounter.linePos(offset);
        return { line: Math.max(line, 1), column: Math.max(col, 1) };
    };
    const positionOf = (path: FieldPath) => placeOf(offsetOf(doc, path));
    const locate = (fault: NoteFault): LocatedFault => ({ ...fault, ...positionOf(fault.path) });
    if (doc.errors.length > 0) {
        return Left(doc.errors.map(err => ({
            path: [],
            found: err.message.replace(/\s+/g, " "),
            allowed: "well-formed YAML",
            ...placeOf(err.pos[0]),
        })));
    }
    return toValue(doc)
        .mapLeft(message => [locate({ path: [], found: message, allowed: "well-formed YAML" })])
        .chain(value => {
            const parsed = schema.safeParse(value);
            return parsed.success
                ? Right({ value: parsed.data as z.output<Schema>, locate, positionOf })
                : Left(sortFaults(schemaFaults(schema, value, parsed.error).map(locate)));
        });
}
