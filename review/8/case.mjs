// VERSION: after new weights of one model, those of another model at the same replicas are never ordered.
import { askModel } from "../lib-2/askModel.mjs";
import { modelDesiredState } from "../lib-2/modelDesiredState.mjs";
import { playCase } from "../lib-2/playCase.mjs";
import { startEngine } from "../lib-2/startEngine.mjs";
import { startRouters } from "../lib-2/startRouters.mjs";

const ZONES = ["a", "b", "c"];
const ENGINES = 3;
const VERSION_ALL_MS = 14_000;
/** Far longer than the engines need, and than VersionMs, so that one version is in place before the other is named. */
const FIRST_RELEASE_MS = 12_000;
const ASK_EVERY_MS = 200;
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

await playCase(async ({ store, record, onEnd, hasTrouble }) => {
    const engines = [];
    for (let i = 0; i < ENGINES; i++) {
        const engine = await startEngine({
            store, name: `i-${i}`, service: "llm", zone: ZONES[i], weights: { alpha: 1, beta: 1 }, record,
        });
        engines.push(engine);
        onEnd(engine.stop);
    }
    store.put("keyed.op", "config", modelDesiredState(1, { models: ["alpha", "beta"] }));
    ["alpha", "beta"].forEach(Model => store.put("keyed.op", `version/${Model}`, { Model, Version: 1 }));
    const routers = await startRouters(store.address, ZONES.map(zone => ({ zone })));
    onEnd(routers.stop);
    routers.nodes.forEach(node => node.launch());
    await routers.untilReady();
    await sleep(1500);

    const state = { sent: 0 };
    /** Sends requests for both models until a time; returns how many were sent and answered whole, by model. */
    const askUntil = async (phase, until) => {
        const counts = { alpha: { sent: 0, served: 0 }, beta: { sent: 0, served: 0 } };
        while (Date.now() < until) {
            for (const model of ["alpha", "beta"]) {
                const id = `q${state.sent++}`;
                record({ event: "sent", id, model });
                const { status, isWhole } = await askModel(routers.nodes[state.sent % ENGINES], {
                    id, path: "/gen/x", model, prefix: `5c1e:80,${(state.sent + 256).toString(16)}:20`, deadlineMs: 3000,
                });
                record({ event: "answered", id, model, status, isWhole });
                counts[model].sent += 1;
                counts[model].served += status === 200 && isWhole ? 1 : 0;
            }
            await sleep(ASK_EVERY_MS);
        }
        record({ event: "phase ends", phase, counts, weights: engines.map(({ weights }) => ({ ...weights })) });
        return counts;
    };
    await askUntil("before", Date.now() + 2000);
    if (hasTrouble) {
        store.put("keyed.op", "version/alpha", { Model: "alpha", Version: 2 });
        record({ event: "named", model: "alpha", version: 2 });
    }
    await askUntil("new weights of alpha", Date.now() + FIRST_RELEASE_MS);
    store.put("keyed.op", "version/beta", { Model: "beta", Version: 2 });
    record({ event: "named", model: "beta", version: 2 });
    const { beta } = await askUntil("new weights of beta", Date.now() + VERSION_ALL_MS);

    const older = engines.filter(({ weights }) => weights.beta < 2).length;
    return {
        isBroken: older > 1 && older > ENGINES / 10,
        summary: `${VERSION_ALL_MS} ms after version 2 of beta was acknowledged, ${older} of ${ENGINES} replicas have version 1; `
            + `${beta.served} of ${beta.sent} requests for beta were served in that time`,
    };
});
