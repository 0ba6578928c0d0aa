import type { RequestEvent } from "./RequestEvent.js";
import type { Violation } from "./Violation.js";

/** Refusals that depend only on an organisation's tokens, not on engines. */
const ALLOWANCE_CODES: readonly (string | undefined)[] = ["over-rate", "allowance-unreachable"];

type EventOf<Kind extends RequestEvent["kind"]> = Extract<RequestEvent, { readonly kind: Kind; }>;

/** Engines that a request may crash before it is quarantined. */
const MAX_CRASHES = 2;

const eventsOf = <Kind extends RequestEvent["kind"]>(
    history: readonly RequestEvent[],
    kind: Kind,
): readonly EventOf<Kind>[] => history.filter((event): event is EventOf<Kind> => event.kind === kind);

const checkPositions = (streams: readonly EventOf<"stream">[]): readonly Violation[] =>
    streams
        .filter(({ positions }) => positions.some((position, index) => position !== index))
        .map(({ id, positions }) => ({ rule: "stream in order", detail: `${id}: ${positions.join(",")}` }));

const checkStreamEnds = (streams: readonly EventOf<"stream">[]): readonly Violation[] =>
    streams
        .filter(({ ended, finished, daemonKilled }) =>
            (ended === "cut" && !daemonKilled) || (ended === "done" && !finished)
        )
        .map(({ id, ended }) => ({ rule: "stream complete or explicit error", detail: `${id}: ${ended}` }));

const checkTexts = (
    streams: readonly EventOf<"stream">[],
    references: readonly EventOf<"reference">[],
): readonly Violation[] =>
    streams.flatMap(({ id, promptTokens, text, ended }) => {
        const fullText = references.find(reference => reference.promptTokens === promptTokens)?.text;
        const matches = fullText === undefined || (ended === "done" ? text === fullText : fullText.startsWith(text));
        return matches ? [] : [{ rule: "answer to its own request", detail: `${id}: ${text.slice(0, 80)}` }];
    });

const checkNotRunStreams = (
    streams: readonly EventOf<"stream">[],
    runs: readonly EventOf<"engine-run">[],
): readonly Violation[] =>
    streams
        .filter(({ ran, promptTokens, crashes }) =>
            ran === "no" && !crashes && runs.some(run => run.promptTokens === promptTokens)
        )
        .map(({ id, code }) => ({ rule: "not run is true", detail: `${id}: ${code ?? ""}` }));

const checkOrganisations = (
    streams: readonly EventOf<"stream">[],
    runs: readonly EventOf<"engine-run">[],
): readonly Violation[] =>
    runs.flatMap(run => {
        const stream = streams.find(({ promptTokens }) => promptTokens === run.promptTokens);
        return stream === undefined || stream.organisation === run.organisation
            ? []
            : [{ rule: "runs for its key's organisation", detail: `${stream.id} at ${run.endpoint}` }];
    });

const isSameCall = (a: EventOf<"call"> | EventOf<"service-run">, b: EventOf<"service-run">): boolean =>
    a.organisation === b.organisation && a.path === b.path && a.key === b.key;

const checkAtMostOnce = (runs: readonly EventOf<"service-run">[]): readonly Violation[] =>
    runs
        .filter((run, index) => runs.findIndex(other => isSameCall(run, other)) < index)
        .map(({ path, key, endpoint }) => ({ rule: "at most once", detail: `${path} ${key ?? ""} at ${endpoint}` }));

const checkNotRunCalls = (
    calls: readonly EventOf<"call">[],
    runs: readonly EventOf<"service-run">[],
): readonly Violation[] =>
    calls
        .filter(call => {
            const same = calls.filter(other =>
                other.key === call.key && other.path === call.path && other.organisation === call.organisation
            );
            return same.every(({ ran }) => ran === "no") && runs.some(run => isSameCall(call, run));
        })
        .map(({ id, code }) => ({ rule: "not run is true", detail: `${id}: ${code ?? ""}` }));

const checkAnsweredCalls = (
    calls: readonly EventOf<"call">[],
    runs: readonly EventOf<"service-run">[],
): readonly Violation[] =>
    calls
        .filter(({ status }) => status === 200)
        .flatMap(call => {
            const same = calls.filter(other => other.key === call.key && other.path === call.path);
            const differs = same.some(({ status, body }) => status === 200 && body !== call.body);
            const ran = runs.some(run => isSameCall(call, run));
            return [
                ...differs ? [{ rule: "a repeated call gets the same answer", detail: call.id }] : [],
                ...ran ? [] : [{ rule: "an answered call ran", detail: call.id }],
            ];
        });

const checkCrashes = (
    streams: readonly EventOf<"stream">[],
    crashes: readonly EventOf<"engine-crash">[],
): readonly Violation[] => {
    const failedUnrelated = streams.filter(({ ended, crashes: isCause, code }) =>
        !isCause && ended === "error" && !ALLOWANCE_CODES.includes(code)
    );
    return [
        ...crashes.length > MAX_CRASHES
            ? [{ rule: "quarantined after the second death", detail: `${crashes.length} engines` }]
            : [],
        ...crashes.length === 0
            ? []
            : failedUnrelated.map(({ id, code }) => ({
                rule: "unrelated requests are served",
                detail: `${id}: ${code ?? ""}`,
            })),
    ];
};

/** Compares what callers received with what the endpoints' own histories say they ran. */
export function checkRequests(history: readonly RequestEvent[]): readonly Violation[] {
    const streams = eventsOf(history, "stream");
    const calls = eventsOf(history, "call");
    const serviceRuns = eventsOf(history, "service-run");
    const engineRuns = eventsOf(history, "engine-run");
    return [
        ...checkPositions(streams),
        ...checkStreamEnds(streams),
        ...checkTexts(streams, eventsOf(history, "reference")),
        ...checkNotRunStreams(streams, engineRuns),
        ...checkOrganisations(streams, engineRuns),
        ...checkAtMostOnce(serviceRuns),
        ...checkNotRunCalls(calls, serviceRuns),
        ...checkAnsweredCalls(calls, serviceRuns),
        ...checkCrashes(streams, eventsOf(history, "engine-crash")),
    ];
}
