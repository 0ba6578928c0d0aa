import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import type { z } from "zod";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";

/** One operation of the administration API, with what its OpenAPI description is generated from. */
export type AdminRoute = {
    readonly method: "GET" | "POST" | "DELETE";
    /** Path with parameters in braces, such as `/admin/v1/keys/{id}`. */
    readonly path: string;
    readonly summary: string;
    /** Descriptions of the query parameters by name. */
    readonly query?: Readonly<Record<string, string>>;
    readonly body?: z.ZodTypeAny;
    readonly answer: z.ZodTypeAny;
    readonly handle: (parts: AdminParts, call: AdminCall) => Promise<Either<Refusal, AdminAnswer>>;
};
