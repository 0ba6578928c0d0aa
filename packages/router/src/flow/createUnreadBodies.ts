import type { Clock, Millis } from "@azureshunt/core";

/** What an endpoint has not read yet of the requests that this VM has sent it. */
type UnreadBodies = {
    /** Records a body that is being sent; returns a function to call once, when the system has taken it or the call ended. */
    readonly begin: (address: string, bytes: number) => () => void;
    /** Whether an endpoint reads so slowly that it gets nothing more. */
    readonly isSlowReader: (address: string) => boolean;
    readonly heldBytes: () => number;
};

type Unread = { bytes: number; since: Millis; };

/** Bodies that an endpoint has not read for this long are not on their way any more. */
const SLOW_MS: Millis = 250;
/** Bound on what one VM holds for an endpoint that reads slowly. */
const MAX_BYTES = 1024 * 1024;

/** Counts the bodies that endpoints have not read yet, by endpoint. Bodies that the system takes at once do not show. */
export function createUnreadBodies({ now }: Pick<Clock, "now">): UnreadBodies {
    const unread = new Map<string, Unread>();
    return {
        begin: (address, bytes) => {
            const pending = unread.get(address) ?? { bytes: 0, since: now() };
            pending.bytes += bytes;
            unread.set(address, pending);
            return () => {
                pending.bytes -= bytes;
                pending.since = now();
                if (pending.bytes === 0) {
                    unread.delete(address);
                }
            };
        },
        isSlowReader: address => {
            const pending = unread.get(address);
            return pending !== undefined && pending.bytes > MAX_BYTES && now() - pending.since > SLOW_MS;
        },
        heldBytes: () => [...unread.values()].reduce((sum, { bytes }) => sum + bytes, 0),
    };
}
