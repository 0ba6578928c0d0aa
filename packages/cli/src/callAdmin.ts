import { EitherAsync, Left, Right } from "purify-ts";
import { request } from "undici";

import type { CliContext } from "./CliContext.js";
import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";

const TIMEOUT_MS = 15_000;
const REFUSED_KEYS = ["missing-key", "unknown-key", "withdrawn-key"];

/** What a daemon answered. Statuses other than 200 come through only for outcomes that are no errors of the API. */
type AdminReply = { readonly status: number; readonly body: Readonly<Record<string, unknown>>; };

/** What is sent beside method and path. */
type AdminRequest = { readonly body?: string; readonly idempotencyKey?: string; };

const failureOf = (error: { readonly code?: string; readonly message?: string; }, json: unknown): CliFailure => {
    const lines = [`refused: ${error.message ?? error.code ?? "no reason given"}`];
    if (REFUSED_KEYS.includes(error.code ?? "")) {
        return failure("key", lines, json);
    }
    if (error.code === "bad-request") {
        return failure("usage", lines, json);
    }
    return failure(error.code === "not-found" ? "notFound" : "failed", lines, json);
};

/** Calls the administration API of the daemon that the tool talks to. */
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
        const received = await request(`${url}${path}`, {
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
        const reply = await liftEither(received);
        const error = reply.body["error"];
        return typeof error === "object" && error !== null
            ? await liftEither(Left<CliFailure, AdminReply>(failureOf(error, reply.body)))
            : reply;
    });
}
