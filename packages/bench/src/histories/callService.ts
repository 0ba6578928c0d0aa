import { callHttp } from "../topology/callHttp.js";

/** Outcome of one call to a plain service as seen by its caller; status 0 without an answer. */
type CallOutcome = {
    readonly status: number;
    readonly code: string | undefined;
    readonly ran: string | undefined;
    readonly body: string;
};

type ServiceCall = {
    readonly caller: string;
    readonly key: string;
    readonly service: string;
    readonly path: string;
    readonly idempotencyKey: string | undefined;
};

type ErrorBody = { readonly error?: { readonly code?: string; readonly ran?: string; }; };

/** Calls a plain service once on a path whose requests must not be repeated. */
export async function callService(call: ServiceCall): Promise<CallOutcome> {
    try {
        const { status, text } = await callHttp({
            method: "POST",
            url: `${call.caller}/v1/services/${call.service}${call.path}`,
            key: call.key,
            headers: call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey },
            body: { hold: call.path },
        });
        const error = status === 200 ? undefined : (JSON.parse(text) as ErrorBody).error;
        return { status, code: error?.code, ran: error?.ran, body: text };
    }
    catch {
        return { status: 0, code: undefined, ran: undefined, body: "" };
    }
}
