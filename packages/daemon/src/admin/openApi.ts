import type { z } from "zod";
import { zodToJsonSchema } from "zod-to-json-schema";

import type { AdminRoute } from "./AdminRoute.js";
import { adminRoutes } from "./adminRoutes.js";

const schemaOf = (schema: z.ZodTypeAny): object => {
    const { $schema, ...rest } = zodToJsonSchema(schema, { target: "openApi3", $refStrategy: "none" }) as {
        readonly $schema?: string;
    };
    void $schema;
    return rest;
};

const content = (schema: z.ZodTypeAny, types: readonly string[]): object =>
    Object.fromEntries(types.map(type => [type, { schema: schemaOf(schema) }]));

const parametersOf = (route: AdminRoute): readonly object[] => [
    ...[...route.path.matchAll(/\{(\w+)\}/g)].map(([, name]) => ({
        name,
        in: "path",
        required: true,
        schema: { type: "string" },
    })),
    ...Object.entries(route.query ?? {}).map(([name, description]) => ({
        name,
        in: "query",
        description,
        schema: { type: "string" },
    })),
];

const ERROR = {
    description: "Refused; see the list of error kinds.",
    content: {
        "application/json": { schema: { $ref: "#/components/schemas/Error" } },
    },
};

const operationOf = (route: AdminRoute): object => ({
    summary: route.summary,
    parameters: parametersOf(route),
    ...(route.body === undefined
        ? {}
        : { requestBody: { required: true, content: content(route.body, ["application/json", "application/yaml"]) } }),
    responses: {
        "200": { description: "Done.", content: content(route.answer, ["application/json"]) },
        "default": ERROR,
    },
});

/** Generates the OpenAPI document from the routes. `scripts/generateSchemas.mjs` writes it to `openapi/`. */
export function openApi(): object {
    const paths = [...new Set(adminRoutes.map(route => route.path))].map(path => {
        const operations = adminRoutes
            .filter(route => route.path === path)
            .map(route => [route.method.toLowerCase(), operationOf(route)]);
        return [path, Object.fromEntries(operations) as object];
    });
    return {
        openapi: "3.0.3",
        info: { title: "azureshunt administration API", version: "1" },
        security: [{ bearer: [] }],
        paths: Object.fromEntries(paths) as object,
        components: {
            securitySchemes: { bearer: { type: "http", scheme: "bearer" } },
            schemas: {
                Error: {
                    type: "object",
                    properties: {
                        error: {
                            type: "object",
                            properties: {
                                message: { type: "string" },
                                type: { type: "string" },
                                code: { type: "string" },
                                ran: { type: "string", enum: ["no", "maybe", "yes"] },
                                request_id: { type: "string" },
                            },
                        },
                    },
                },
            },
        },
    };
}
