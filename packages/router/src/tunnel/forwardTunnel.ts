import type { Socket } from "node:net";

import { judgeTunnelEnd } from "@azureshunt/completion";
import type { TunnelEnd, TunnelEvent } from "@azureshunt/completion";

import type { Millis } from "@azureshunt/core";
import { afterPendingReads } from "@azureshunt/lifecycle";

import { wasReset } from "../dispatch/wasReset.js";

type ForwardParts = {
    /** Connection to the VM that uses the tunnel. */
    readonly near: Socket;
    /** Connection to the endpoint. */
    readonly far: Socket;
    /** Time after which a tunnel that carries nothing is given up. */
    readonly idleMs: Millis;
    /** Called when it is known how the tunnel ends, or ends otherwise, before either side can learn of it. */
    readonly onEnd: (end: TunnelEnd) => void;
    /** Called once, when both connections are closed. */
    readonly onClosed: (end: TunnelEnd) => void;
};

/** A tunnel that is open. */
type ForwardedTunnel = {
    /** Resets both connections. */
    readonly giveUp: (reason: "idle" | "stopped") => void;
};

/**
 * Forwards bytes between two connections until both are closed. What is no clean end of one side is a reset at the other
 * (`judgeTunnelEnd`): the VM tells by it that an answer is incomplete, and the endpoint that a call was abandoned, whose
 * bytes must not arrive later.
 */
export function forwardTunnel({ near, far, idleMs, onEnd, onClosed }: ForwardParts): ForwardedTunnel {
    const state = { end: undefined as TunnelEnd | undefined, closed: 0 };
    const judge = (event: TunnelEvent): "end" | "reset" => {
        const { end, passOn } = judgeTunnelEnd(state.end, event);
        if (end !== state.end) {
            state.end = end;
            onEnd(end);
        }
        return passOn;
    };
    const giveUp: ForwardedTunnel["giveUp"] = reason => {
        judge({ kind: "given-up", reason, areAllSent: near.writableFinished });
        near.resetAndDestroy();
        far.resetAndDestroy();
    };
    const sides = [
        { side: "vm", from: near, to: far },
        { side: "endpoint", from: far, to: near },
    ] as const;
    sides.forEach(({ side, from, to }) => {
        const pass = (end: "closed" | "reset" | "failed"): void => {
            if (judge({ kind: "ended", side, end, areAllSent: near.writableFinished }) === "reset") {
                to.resetAndDestroy();
            }
        };
        from.setNoDelay(true);
        from.on("timeout", () => {
            const { bytesRead, bytesWritten } = from;
            afterPendingReads(() =>
                from.bytesRead === bytesRead && from.bytesWritten === bytesWritten ? giveUp("idle") : undefined
            );
        });
        from.setTimeout(idleMs);
        // Before the listener of `pipe`, which passes a clean end on.
        from.prependOnceListener("end", () => pass(wasReset(from) ? "reset" : "closed"));
        from.on("error", () => pass("failed"));
        from.on("close", () => {
            if (from.readableEnded && !from.errored) {
                to.destroySoon();
            }
            else {
                pass("failed");
            }
            state.closed += 1;
            if (state.closed === sides.length) {
                onClosed(state.end ?? "reset");
            }
        });
        from.pipe(to);
    });
    return { giveUp };
}
