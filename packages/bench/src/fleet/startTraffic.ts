import type { demoNote } from "../demo/demoNote.js";
import { streamChat } from "../demo/streamChat.js";
import type { Topology } from "../topology/Topology.js";

const MAX_TOKENS = 8;

/** Requests ended so far, by outcome. */
type TrafficCounts = { readonly complete: number; readonly refused: number; readonly broken: number; };

/** Background requests. */
type Traffic = {
    /** Stops sending and waits for the last answers. */
    readonly stop: () => Promise<TrafficCounts>;
};

/**
 * Sends streamed chats at a fixed interval, through the daemons in rotation.
 *
 * @param intervalMs time between two requests
 */
export function startTraffic(topology: Topology, demo: ReturnType<typeof demoNote>, intervalMs: number): Traffic {
    const counts = { complete: 0, refused: 0, broken: 0, sent: 0 };
    const running = new Set<Promise<void>>();

    const send = async (index: number): Promise<void> => {
        const daemon = topology.daemons[index % topology.daemons.length];
        const organisation = demo.organisations[index % demo.organisations.length];
        const content = `question ${index}: which chain fits?`;
        try {
            const messages = [{ role: "user", content }];
            const chat = await streamChat(
                daemon?.caller ?? "",
                organisation?.key ?? "",
                demo.model,
                messages,
                MAX_TOKENS,
            );
            const outcome = chat.status !== 200 ? "refused" : chat.complete ? "complete" : "broken";
            counts[outcome] += 1;
        }
        catch {
            counts.broken += 1;
        }
    };
    const timer = setInterval(() => {
        counts.sent += 1;
        const request = send(counts.sent).finally(() => running.delete(request));
        running.add(request);
    }, intervalMs);

    return {
        stop: async () => {
            clearInterval(timer);
            await Promise.all(running);
            return counts;
        },
    };
}
