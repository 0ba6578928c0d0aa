import type { Clock, ModelName } from "@azureshunt/core";
import { Right } from "purify-ts";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { startDeclarations } from "../../knowledge/startDeclarations.js";
import { declarationParts } from "./declarationParts.js";

/** Starts the declarations of a VM whose store names the target weights of a model, and waits until they are read. */
export async function startTargetDeclarations(
    clock: Clock,
    model: ModelName,
    version: number,
): Promise<ReturnType<typeof startDeclarations>> {
    const store = {
        newest: () => Promise.resolve(Right({ records: [{ offset: 0, key: "v", value: Buffer.from("v") }], end: 1 })),
        read: () => Promise.resolve(Right({ records: [], end: 1 })),
    };
    const agent = new EndpointAgent(clock.now);
    const decodeDeclaration = (): unknown => Right({ kind: "weights", model, version });
    const declarations = startDeclarations({
        ...declarationParts({ clock, agent, store, decodeDeclaration }),
        readerScope: () => "none",
    });
    while (!declarations.current().weights.has(model)) {
        await new Promise(done => setTimeout(done, 5));
    }
    return declarations;
}
