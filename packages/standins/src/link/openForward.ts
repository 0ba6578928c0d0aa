import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

import type { Clock } from "../common/Clock.js";
import { joinSockets } from "./joinSockets.js";
import type { LinkSwitches } from "./LinkSwitches.js";
import type { Target } from "./Target.js";

/** Where a route listens, and how it behaves. */
type ForwardOptions = {
    readonly host: string;
    readonly port: number;
    readonly target: Target;
    readonly clock: Clock;
    readonly switches: () => LinkSwitches;
};

/** One listening route. */
type Forward = {
    /** `host:port` that it listens on. */
    readonly address: string;
    /** Makes the connections open now silent for good; new ones work. */
    readonly silence: () => void;
    readonly destroyAll: () => void;
};

/** Opens a route that passes TCP connections on to its target. */
export function openForward({ host, port, target, clock, switches }: ForwardOptions): Promise<Forward> {
    const pairs = new Set<ReturnType<typeof joinSockets>>();
    const server = createServer({ allowHalfOpen: true, noDelay: true }, near => {
        near.on("error", () => near.destroy());
        if (switches().cut) {
            near.destroy();
            return;
        }
        const far = connect({ ...target, allowHalfOpen: true, noDelay: true });
        const pair = joinSockets(near, far, clock, () => switches().delayMs, () => !switches().blackhole);
        pairs.add(pair);
        near.on("close", () => pairs.delete(pair));
    });
    const forward = (listening: number): Forward => ({
        address: `${host}:${listening}`,
        silence: () => pairs.forEach(pair => pair.mute()),
        destroyAll: () => pairs.forEach(pair => pair.destroy()),
    });
    return new Promise((resolve, reject) => {
        server.on("error", reject);
        server.listen(port, host, () => resolve(forward((server.address() as AddressInfo).port)));
    });
}
