import type { TunnelEnd } from "./TunnelEnd.js";
import type { TunnelEvent } from "./TunnelEvent.js";

/** How a tunnel has ended, and how the other side learns of an event. */
type TunnelVerdict = {
    readonly end: TunnelEnd;
    /** `end`: after all bytes before, the connection is closed. `reset`: it is reset at once. */
    readonly passOn: "end" | "reset";
};

const endOf = (event: TunnelEvent): TunnelEnd => {
    if (event.kind === "given-up") {
        return event.reason;
    }
    return event.end === "closed" ? `${event.side}-closed` : "reset";
};

const isClosed = (end: TunnelEnd): boolean => end === "endpoint-closed" || end === "vm-closed";

/**
 * Returns how a tunnel has ended after an event. An operating system closes the connections of a process that stops like
 * those that have ended, so what its end tells is passed on only if one side has closed its connection; all else is a reset.
 * The first event decides, but the endpoint's close does not count if bytes before it were not sent.
 *
 * @param before how the tunnel had ended before the event; `undefined` while it is open
 */
export function judgeTunnelEnd(before: TunnelEnd | undefined, event: TunnelEvent): TunnelVerdict {
    const end = endOf(event);
    if (isClosed(end)) {
        return { end: before ?? end, passOn: before === undefined || isClosed(before) ? "end" : "reset" };
    }
    const isDecided = before !== undefined && (before !== "endpoint-closed" || event.areAllSent);
    return { end: isDecided ? before : end, passOn: "reset" };
}
