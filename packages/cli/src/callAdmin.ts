import { EitherAsync, Left, Right } from "purify-ts";
import { request } from "undici";

import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";

const TIMEOUT_MS = 15_000;
const KEY_ERROR_CODES = ["missing-key", "unknown-key", "withdrawn-key"];

/** Answer of a daemon. Its status may differ from 200 only if the body is an outcome, not an error of the API. */
type AdminReply = { readonly status: number; readonly body: Readonly<Record<string, unknown>>; };

/** Optional body and header of a call. */
type AdminRequest = { readonly body?: string; readonly idempotencyKey?: string; };

const failureOf = (error: { readonly code?: string; readonly message?: string; }, json: unknown): CliFailure => {
    const lines = [`refused: ${error.message ?? error.code ?? "no reason given"}`];
    if (KEY_ERROR_CODES.includes(error.code ?? "")) {
        return failure("key", lines, json);
    }
    if (error.code === "bad-request") {
        return failure("usage", lines, json);
    }
    return failure(error.code === "not-found" ? "notFound" : "failed", lines, json);
};

/** Calls the administration API of the target daemon; a refusal becomes a failure with the matching exit code. */
export function callAdmin(
    ctx: CliContext,
    method: "GET" | "POST" | "DELETE",
    path: string,
    { body, idempotencyKey }: AdminRequest = {},
): EitherAsync<CliFailure, AdminReply> {
    return EitherAsync<CliFailure, AdminReply>(async ({ liftEither }) => {
        const { url = "", key = "" } = ctx.target ?? {};
        const headers = {
            authorization: `Bearer ${key}`,
            ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        };
        const response = await request(`${url}${path}`, {
            method,
            headers,
            body,
            signal: AbortSignal.timeout(TIMEOUT_MS),
        }).then(
            async res =>
                Right<AdminReply, CliFailure>({
                    status: res.statusCode,
                    body: await res.body.json() as AdminReply["body"],
                }),
            (err: unknown) => {
                const reason = err instanceof Error ? (err as { code?: string; }).code ?? err.message : String(err);
                return Left<CliFailure, AdminReply>(failure("failed", [`${url} cannot be reached: ${reason}`]));
            },
        ).catch(() => Left<CliFailure, AdminReply>(failure("failed", [`${url} is no administration listener`])));
        const reply = await liftEither(response);
        const error = reply.body["error"];
        return typeof error === "object" && error !== null
            ? await liftEither(Left<CliFailure, AdminReply>(failureOf(error, reply.body)))
            : reply;
    });
}
