import { request } from "undici";

const CALL_TIMEOUT_MS = 15_000;

/** A complete HTTP response. */
type HttpAnswer = {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly text: string;
};

type HttpCall = {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly url: string;
    /** Sent as a bearer token. */
    readonly key?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: unknown;
};

/**
 * Sends one HTTP request and reads the complete response. Any status counts as a response.
 *
 * @throws Error if no complete response arrives in time
 */
export async function callHttp(call: HttpCall): Promise<HttpAnswer> {
    const res = await request(call.url, {
        method: call.method,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        headers: {
            ...call.body === undefined ? {} : { "content-type": "application/json" },
            ...call.key === undefined ? {} : { authorization: `Bearer ${call.key}` },
            ...call.headers,
        },
        body: call.body === undefined ? undefined : JSON.stringify(call.body),
    });
    return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
}
