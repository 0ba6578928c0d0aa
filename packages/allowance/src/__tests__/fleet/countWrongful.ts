import type { Spend } from "./Spend.js";

/** Counts refusals of requests that one bucket for the whole fleet, spent from the same way, would have served. */
export function countWrongful(
    spends: readonly Spend[],
    refusals: readonly Spend[],
    rate: number,
    burst: number,
): number {
    const events = [
        ...spends.map(spend => ({ ...spend, refused: false })),
        ...refusals.map(refusal => ({ ...refusal, refused: true })),
    ].sort((a, b) => a.at - b.at);
    const start = { level: burst, at: events[0]?.at ?? 0, wrongful: 0 };
    return events.reduce((sofar, event) => {
        const level = Math.min(burst, sofar.level + rate * (event.at - sofar.at) / 1_000);
        const wrongful = sofar.wrongful + (event.refused && level >= event.tokens ? 1 : 0);
        return { level: event.refused ? level : level - event.tokens, at: event.at, wrongful };
    }, start).wrongful;
}
