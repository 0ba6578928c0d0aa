import { request } from "undici";

const CALL_BOUND_MS = 40_000;

/** What a caller saw of one streamed completion. */
type StreamSeen = {
    readonly status: number;
    readonly positions: readonly number[];
    readonly text: string;
    readonly finished: boolean;
    readonly ended: "done" | "error" | "cut";
    readonly code: string | undefined;
    readonly ran: string | undefined;
};

/** What is asked for. */
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

const errorOf = (json: string): Pick<StreamSeen, "code" | "ran"> => {
    const { error } = JSON.parse(json) as ErrorBody;
    return { code: error?.code, ran: error?.ran };
};

const judge = (status: number, raw: string, isBroken: boolean): StreamSeen => {
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

/** The daemon was down and took no request; nothing has broken off. */
const UNREACHED: StreamSeen = {
    status: 0,
    positions: [],
    text: "",
    finished: false,
    ended: "error",
    code: "daemon-down",
    ran: "no",
};

/** Sends a streamed completion and reads it to its end, however that comes. */
export async function readStream(call: StreamCall): Promise<StreamSeen> {
    const seen = { status: 0, raw: "" };
    try {
        const res = await request(`${call.caller}/v1/completions`, {
            method: "POST",
            signal: AbortSignal.timeout(CALL_BOUND_MS),
            headers: { "content-type": "application/json", "authorization": `Bearer ${call.key}` },
            body: JSON.stringify({ model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, stream: true }),
        });
        seen.status = res.statusCode;
        for await (const bytes of res.body as AsyncIterable<Buffer>) {
            seen.raw += bytes.toString("utf8");
        }
        return judge(seen.status, seen.raw, false);
    }
    catch (err) {
        return isRefused(err) ? UNREACHED : judge(seen.status, seen.raw, true);
    }
}
