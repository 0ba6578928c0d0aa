import type { IncomingMessage } from "node:http";

import type { z } from "zod";

import { HttpError } from "./HttpError.js";
import { readBody } from "./readBody.js";

const parse = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        throw new HttpError(400, "The body is not JSON.");
    }
};

/**
 * Reads a request's body as JSON that matches a schema.
 *
 * @throws HttpError 400 if the body is not JSON or does not match the schema; the message names the fields
 */
export async function readJson<T>(
    req: IncomingMessage,
    schema: z.ZodType<T, z.ZodTypeDef, unknown>,
): Promise<T> {
    const body = await readBody(req);
    const checked = schema.safeParse(parse(body.toString("utf8")));
    if (!checked.success) {
        const issues = checked.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`);
        throw new HttpError(400, issues.join("; "));
    }
    return checked.data;
}
