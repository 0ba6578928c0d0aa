import type { RequestEvent } from "./RequestEvent.js";
import type { Violation } from "./Violation.js";

/** Refusals that depend on an organisation's tokens alone, whatever engines do. */
const ALLOWANCE_CODES: readonly (string | undefined)[] = ["over-rate", "allowance-unreachable"];

type Of<Kind extends RequestEvent["kind"]> = Extract<RequestEvent, { readonly kind: Kind; }>;

/** Engines that a request may crash before it is stopped. */
const MAX_CRASHES = 2;

const pick = <Kind extends RequestEvent["kind"]>(history: readonly RequestEvent[], kind: Kind): readonly Of<Kind>[] =>
    history.filter((event): event is Of<Kind> => event.kind === kind);

const checkOrder = (streams: readonly Of<"stream">[]): readonly Violation[] =>
    streams
        .filter(({ positions }) => positions.some((position, index) => position !== index))
        .map(({ id, positions }) => ({ rule: "stream in order", detail: `${id}: ${positions.join(",")}` }));

const checkEnds = (streams: readonly Of<"stream">[]): readonly Violation[] =>
    streams
        .filter(({ ended, finished, daemonKilled }) =>
            (ended === "cut" && !daemonKilled) || (ended === "done" && !finished)
        )
        .map(({ id, ended }) => ({ rule: "stream whole or explicit error", detail: `${id}: ${ended}` }));

const checkTexts = (
    streams: readonly Of<"stream">[],
    references: readonly Of<"reference">[],
): readonly Violation[] =>
    streams.flatMap(({ id, promptTokens, text, ended }) => {
        const whole = references.find(reference => reference.promptTokens === promptTokens)?.text;
        const fits = whole === undefined || (ended === "done" ? text === whole : whole.startsWith(text));
        return fits ? [] : [{ rule: "answer to its own request", detail: `${id}: ${text.slice(0, 80)}` }];
    });

const checkNotRunStreams = (
    streams: readonly Of<"stream">[],
    runs: readonly Of<"engine-run">[],
): readonly Violation[] =>
    streams
        .filter(({ ran, promptTokens, crashes }) =>
            ran === "no" && !crashes && runs.some(run => run.promptTokens === promptTokens)
        )
        .map(({ id, code }) => ({ rule: "not run is true", detail: `${id}: ${code ?? ""}` }));

const checkOrganisations = (
    streams: readonly Of<"stream">[],
    runs: readonly Of<"engine-run">[],
): readonly Violation[] =>
    runs.flatMap(run => {
        const stream = streams.find(({ promptTokens }) => promptTokens === run.promptTokens);
        return stream === undefined || stream.organisation === run.organisation
            ? []
            : [{ rule: "runs for its key's organisation", detail: `${stream.id} at ${run.endpoint}` }];
    });

const sameCall = (a: Of<"call"> | Of<"service-run">, b: Of<"service-run">): boolean =>
    a.organisation === b.organisation && a.path === b.path && a.key === b.key;

const checkOnce = (runs: readonly Of<"service-run">[]): readonly Violation[] =>
    runs
        .filter((run, index) => runs.findIndex(other => sameCall(run, other)) < index)
        .map(({ path, key, endpoint }) => ({ rule: "at most once", detail: `${path} ${key ?? ""} at ${endpoint}` }));

const checkNotRunCalls = (
    calls: readonly Of<"call">[],
    runs: readonly Of<"service-run">[],
): readonly Violation[] =>
    calls
        .filter(call => {
            const same = calls.filter(other =>
                other.key === call.key && other.path === call.path && other.organisation === call.organisation
            );
            return same.every(({ ran }) => ran === "no") && runs.some(run => sameCall(call, run));
        })
        .map(({ id, code }) => ({ rule: "not run is true", detail: `${id}: ${code ?? ""}` }));

const checkAnswered = (
    calls: readonly Of<"call">[],
    runs: readonly Of<"service-run">[],
): readonly Violation[] =>
    calls
        .filter(({ status }) => status === 200)
        .flatMap(call => {
            const same = calls.filter(other => other.key === call.key && other.path === call.path);
            const differs = same.some(({ status, body }) => status === 200 && body !== call.body);
            const ran = runs.some(run => sameCall(call, run));
            return [
                ...differs ? [{ rule: "a repeated call gets the same answer", detail: call.id }] : [],
                ...ran ? [] : [{ rule: "an answered call ran", detail: call.id }],
            ];
        });

const checkCrashes = (
    streams: readonly Of<"stream">[],
    crashes: readonly Of<"engine-crash">[],
): readonly Violation[] => {
    const innocent = streams.filter(({ ended, crashes: isGuilty, code }) =>
        !isGuilty && ended === "error" && !ALLOWANCE_CODES.includes(code)
    );
    return [
        ...crashes.length > MAX_CRASHES
            ? [{ rule: "stopped after the second death", detail: `${crashes.length} engines` }]
            : [],
        ...crashes.length === 0
            ? []
            : innocent.map(({ id, code }) => ({ rule: "innocents are served", detail: `${id}: ${code ?? ""}` })),
    ];
};

/** Judges a history of callers' requests beside what the endpoints themselves say that they ran. */
export function checkRequests(history: readonly RequestEvent[]): readonly Violation[] {
    const streams = pick(history, "stream");
    const calls = pick(history, "call");
    const serviceRuns = pick(history, "service-run");
    const engineRuns = pick(history, "engine-run");
    return [
        ...checkOrder(streams),
        ...checkEnds(streams),
        ...checkTexts(streams, pick(history, "reference")),
        ...checkNotRunStreams(streams, engineRuns),
        ...checkOrganisations(streams, engineRuns),
        ...checkOnce(serviceRuns),
        ...checkNotRunCalls(calls, serviceRuns),
        ...checkAnswered(calls, serviceRuns),
        ...checkCrashes(streams, pick(history, "engine-crash")),
    ];
}
