import type { EndpointName } from "@azureshunt/core";
import type { ObservedEngine, WeightsOrder } from "@azureshunt/fleet";
import { fencingTokenForOrder, planOrders } from "@azureshunt/fleet";
import type { Configuration, EndpointSpec, ModelSpec } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stoppable } from "../Stoppable.js";
import { createEngineClient } from "./createEngineClient.js";
import type { createTrafficVersions } from "./createTrafficVersions.js";
import { createUnloadGuard } from "./createUnloadGuard.js";
import { startLease } from "./startLease.js";

/** Time added to the maximum wait of a request before old weights may be unloaded. */
const UNLOAD_MARGIN_MS = 5_000;

/**
 * Starts sending orders to the engines of this daemon's failure domain, while it holds the order lease, so that they reach
 * the state that the configuration declares. Each round compares the two again, so nothing depends on the arrival of an
 * order.
 *
 * @param versionOf returns the weights version of a model for new requests
 */
export function startEngineOrders(ctx: DaemonContext, versionOf: ReturnType<typeof createTrafficVersions>): Stoppable {
    const { settings, clock, metrics } = ctx;
    const { leaseMs, orderMs, pollMs, concurrentLoads } = settings.fleet;
    const logger = ctx.logger("fleet");
    const lease = startLease(ctx, leaseMs);
    const engines = createEngineClient(orderMs);
    const unloadGuard = createUnloadGuard(settings.limits.deadlineMs + UNLOAD_MARGIN_MS);
    const busy = new Set<EndpointName>();
    const rounds = { stopped: false };

    const fencingFor = (checksFencing: boolean): number | undefined =>
        fencingTokenForOrder(lease.state(), clock.now(), checksFencing, orderMs);
    metrics.gauge(
        "azureshunt_fleet_lease_held",
        "1 while this daemon holds the order lease of its failure domain.",
        () => fencingFor(true) === undefined ? 0 : 1,
    );

    const send = async (spec: EndpointSpec, order: WeightsOrder): Promise<void> => {
        // Checked here and not when the order was planned, as the process may have been suspended in between.
        const fencing = fencingFor(spec.checksFencing);
        if (fencing === undefined) {
            return;
        }
        busy.add(spec.name);
        const outcome = await engines.send(spec, order, fencing);
        busy.delete(spec.name);
        const { endpoint, action, weights: { model, adapter, version } } = order;
        metrics.count("azureshunt_fleet_orders_total", "Orders to engines, by action and outcome.", {
            action,
            outcome,
        });
        logger.info({ endpoint, action, model, adapter, version, fencing, outcome }, "Sent an order to an engine.");
    };

    const recordUses = (cfg: Configuration): void =>
        [...cfg.models.values()].forEach((spec: ModelSpec) =>
            [undefined, ...spec.adapters].forEach(adapter =>
                unloadGuard.recordUse({ model: spec.name, adapter, version: versionOf(cfg, spec) }, clock.now())
            )
        );

    const round = async (): Promise<void> => {
        const cfg = ctx.release.current();
        if (cfg === undefined || fencingFor(true) === undefined) {
            return;
        }
        recordUses(cfg);
        const specs = [...cfg.endpoints.values()]
            .filter(spec => spec.kind === "model" && spec.failureDomain === settings.failureDomain);
        const answers = await Promise.all(specs.map(engines.observe));
        const observed: readonly ObservedEngine[] = answers.filter(engine => engine !== undefined);
        const orders = planOrders({
            cfg,
            engines: observed,
            busy,
            maxLoads: concurrentLoads,
            mayUnload: weights => unloadGuard.mayUnload(weights, clock.now()),
        });
        await Promise.all(orders.map(order => {
            const spec = cfg.endpoints.get(order.endpoint);
            return spec === undefined ? undefined : send(spec, order);
        }));
    };

    const loop = (): void => {
        void round()
            .catch((err: unknown) => logger.error({ err }, "Round of engine orders failed: internal error."))
            .finally(() => {
                if (!rounds.stopped) {
                    setTimeout(loop, pollMs);
                }
            });
    };
    loop();

    return {
        stop: async () => {
            rounds.stopped = true;
            lease.stop();
            await engines.stop();
        },
    };
}
