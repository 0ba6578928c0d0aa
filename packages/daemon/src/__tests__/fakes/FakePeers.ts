import { setTimeout as sleep } from "node:timers/promises";

import type { VmId } from "@azureshunt/core";
import { FailureDomain } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import type { PeerPort } from "../../ports/PeerPort.js";

type Handler = Parameters<PeerPort["handle"]>[1];

/** Copies a body, as the codec between real daemons does, so that neither side sees later changes of the other. */
const copied = (body: object): object => structuredClone(body);

/** Lets daemons of one process exchange messages without a network. */
export class FakePeers {
    readonly #handlers = new Map<VmId, Map<string, Handler>>();
    /** VMs that can neither send nor receive messages. */
    readonly cut = new Set<VmId>();
    /** Delay of each message. */
    delayMs = 0;
    /** Returns whether a message is lost. */
    loses: (to: VmId, kind: string, body: object) => boolean = () => false;

    /** Creates the peer port of one daemon. */
    portOf(vm: VmId): PeerPort {
        const own = new Map<string, Handler>();
        this.#handlers.set(vm, own);
        return {
            peers: () =>
                [...this.#handlers.keys()]
                    .filter(each => each !== vm)
                    .map(each => ({ vm: each, failureDomain: FailureDomain.parse("fd-1"), address: each })),
            exchange: async (to, kind, body) => {
                const handler = this.#handlers.get(to)?.get(kind);
                const isReached = handler !== undefined && !this.cut.has(to) && !this.cut.has(vm)
                    && !this.loses(to, kind, body);
                await (this.delayMs > 0 ? sleep(this.delayMs) : undefined);
                return isReached
                    ? Right(copied(await handler(copied(body), vm)))
                    : Left(new Error("unreachable"));
            },
            handle: (kind, answer) => {
                own.set(kind, answer);
                return () => own.delete(kind);
            },
        };
    }
}
