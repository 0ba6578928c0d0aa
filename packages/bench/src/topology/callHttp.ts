import { request } from "undici";

const CALL_BOUND_MS = 15_000;

/** The answer to a call, read to its end. */
type HttpAnswer = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
};

/** What is called. */
type HttpCall = {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly url: string;
    readonly key?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: unknown;
};

/**
 * Makes one HTTP call and reads its answer.
 *
 * @throws Error when no answer comes
 */
export async function callHttp(call: HttpCall): Promise<HttpAnswer> {
    const res = await request(call.url, {
        method: call.method,
        signal: AbortSignal.timeout(CALL_BOUND_MS),
        headers: {
            ...call.body === undefined ? {} : { "content-type": "application/json" },
            ...call.key === undefined ? {} : { authorization: `Bearer ${call.key}` },
            ...call.headers,
        },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
}
