import { request } from "undici";

const CALL_TIMEOUT_MS = 40_000;

/** Outcome of one streamed completion as seen by its caller. */
type StreamOutcome = {
    readonly status: number;
    readonly positions: readonly number[];
    readonly text: string;
    readonly finished: boolean;
    readonly ended: "done" | "error" | "cut";
    readonly code: string | undefined;
    readonly ran: string | undefined;
};

type StreamCall = {
    readonly caller: string;
    readonly key: string;
    readonly model: string;
    readonly prompt: string;
    readonly maxTokens: number;
};

type Chunk = {
    readonly position: number;
    readonly choices: readonly { readonly text?: string; readonly finish_reason?: string | null; }[];
};
type ErrorBody = { readonly error?: { readonly code?: string; readonly ran?: string; }; };

const dataOf = (event: string): string => event.split("\n").find(line => line.startsWith("data: "))?.slice(6) ?? "";

const errorOf = (json: string): Pick<StreamOutcome, "code" | "ran"> => {
    const { error } = JSON.parse(json) as ErrorBody;
    return { code: error?.code, ran: error?.ran };
};

const outcomeOf = (status: number, raw: string, isBroken: boolean): StreamOutcome => {
    if (status !== 200) {
        const none = { status, positions: [], text: "", finished: false, code: undefined, ran: undefined };
        return isBroken || status === 0
            ? { ...none, ended: "cut" }
            : { ...none, ended: "error", ...errorOf(raw) };
    }
    const events = raw.split("\n\n").slice(0, -1);
    const chunks = events
        .filter(event => event.startsWith("data: {"))
        .map(event => JSON.parse(dataOf(event)) as Chunk);
    const failure = events.find(event => event.startsWith("event: error"));
    const isDone = events.at(-1) === "data: [DONE]" && !isBroken;
    return {
        status,
        positions: chunks.map(({ position }) => position),
        text: chunks.map(({ choices }) => choices[0]?.text ?? "").join(""),
        finished: typeof chunks.at(-1)?.choices[0]?.finish_reason === "string",
        ended: failure === undefined ? isDone ? "done" : "cut" : "error",
        ...failure === undefined ? { code: undefined, ran: undefined } : errorOf(dataOf(failure)),
    };
};

const isRefused = (err: unknown): boolean => err instanceof Error && "code" in err && err.code === "ECONNREFUSED";

/** The daemon was down and accepted no connection: the request has not run, and no stream was cut. */
const DAEMON_DOWN: StreamOutcome = {
    status: 0,
    positions: [],
    text: "",
    finished: false,
    ended: "error",
    code: "daemon-down",
    ran: "no",
};

/** Sends a streamed completion and reads it until it is complete, fails or is cut off. */
export async function readStream(call: StreamCall): Promise<StreamOutcome> {
    const received = { status: 0, raw: "" };
    try {
        const res = await request(`${call.caller}/v1/completions`, {
            method: "POST",
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
            headers: { "content-type": "application/json", "authorization": `Bearer ${call.key}` },
            body: JSON.stringify({ model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, stream: true }),
        });
        received.status = res.statusCode;
        for await (const bytes of res.body as AsyncIterable<Buffer>) {
            received.raw += bytes.toString("utf8");
        }
        return outcomeOf(received.status, received.raw, false);
    }
    catch (err) {
        return isRefused(err) ? DAEMON_DOWN : outcomeOf(received.status, received.raw, true);
    }
}
