import type { Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";
import type { z } from "zod";

import type { AdminAnswer } from "./AdminAnswer.js";
import type { AdminCall } from "./AdminCall.js";
import type { AdminParts } from "./AdminParts.js";

/** One operation of the administration API, with all that its OpenAPI description needs. */
export type AdminRoute = {
    readonly method: "GET" | "POST" | "DELETE";
    /** Path with named parts in braces, such as `/admin/v1/keys/{id}`. */
    readonly path: string;
    readonly summary: string;
    /** Names of the query's parameters and what they do. */
    readonly query?: Readonly<Record<string, string>>;
    readonly body?: z.ZodTypeAny;
    readonly answer: z.ZodTypeAny;
    readonly handle: (parts: AdminParts, call: AdminCall) => Promise<Either<Refusal, AdminAnswer>>;
};
