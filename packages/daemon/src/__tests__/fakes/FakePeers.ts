import type { VmId } from "@azureshunt/core";
import { FailureDomain } from "@azureshunt/core";
import { Left, Right } from "purify-ts";

import type { PeerPort } from "../../ports/PeerPort.js";

type Handler = Parameters<PeerPort["handle"]>[1];

const DOMAIN = FailureDomain.parse("fd-1");

/** Exchanges messages between daemons in memory; bodies pass through JSON as through a codec. */
export class FakePeers {
    readonly #handlers = new Map<VmId, Map<string, Handler>>();

    /** The port of one VM; it reaches those that have a port. */
    port(vm: VmId): PeerPort {
        const own = new Map<string, Handler>();
        this.#handlers.set(vm, own);
        return {
            peers: () =>
                [...this.#handlers.keys()]
                    .filter(each => each !== vm)
                    .map(each => ({ vm: each, failureDomain: DOMAIN, address: "" })),
            exchange: async (to, kind, body) => {
                const handler = this.#handlers.get(to)?.get(kind);
                if (handler === undefined) {
                    return Left(new Error("no answer"));
                }
                const answer = await handler(JSON.parse(JSON.stringify(body)) as object, vm);
                return Right(JSON.parse(JSON.stringify(answer)) as object);
            },
            handle: (kind, answer) => {
                own.set(kind, answer);
                return () => void own.delete(kind);
            },
        };
    }
}
