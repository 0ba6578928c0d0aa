import type { EndpointName } from "@azureshunt/core";
import type { FleetOrder, ObservedEngine } from "@azureshunt/fleet";
import { mayOrder, planOrders } from "@azureshunt/fleet";
import type { Configuration, EndpointSpec, ModelSpec } from "@azureshunt/release";

import type { DaemonContext } from "../ports/DaemonContext.js";
import type { Stopping } from "../Stopping.js";
import { createEngineOrders } from "./createEngineOrders.js";
import type { createTrafficVersions } from "./createTrafficVersions.js";
import { createUnloadGuard } from "./createUnloadGuard.js";
import { startLease } from "./startLease.js";

/** Added to the longest wait of a request before old weights may go. */
const UNLOAD_MARGIN_MS = 5_000;

/**
 * Brings the engines of this daemon's failure domain to what the configuration declares, while this daemon holds the
 * order lease. Compares anew at each round; nothing depends on an order having arrived.
 *
 * @param versionOf the version that new requests get
 */
export function startFleet(ctx: DaemonContext, versionOf: ReturnType<typeof createTrafficVersions>): Stopping {
    const { settings, clock, metrics } = ctx;
    const { leaseMs, orderMs, pollMs, concurrentLoads } = settings.fleet;
    const logger = ctx.logger("fleet");
    const lease = startLease(ctx, leaseMs);
    const engines = createEngineOrders(orderMs);
    const guard = createUnloadGuard(settings.limits.deadlineMs + UNLOAD_MARGIN_MS);
    const busy = new Set<EndpointName>();
    const rounds = { stopped: false };

    const fencingFor = (checksFencing: boolean): number | undefined =>
        mayOrder(lease.state(), clock.now(), checksFencing, orderMs);
    metrics.gauge(
        "azureshunt_fleet_lease_held",
        "1 while this daemon holds the order lease of its failure domain.",
        () => fencingFor(true) === undefined ? 0 : 1,
    );

    const send = async (spec: EndpointSpec, order: FleetOrder): Promise<void> => {
        // Asked here and not when the order was planned: the process may have been paused in between.
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
        logger.info({ endpoint, action, model, adapter, version, fencing, outcome }, "Order sent.");
    };

    const noteUses = (cfg: Configuration): void =>
        [...cfg.models.values()].forEach((spec: ModelSpec) =>
            [undefined, ...spec.adapters].forEach(adapter =>
                guard.noteUse({ model: spec.name, adapter, version: versionOf(cfg, spec) }, clock.now())
            )
        );

    const round = async (): Promise<void> => {
        const cfg = ctx.release.current();
        if (cfg === undefined || fencingFor(true) === undefined) {
            return;
        }
        noteUses(cfg);
        const specs = [...cfg.endpoints.values()]
            .filter(spec => spec.kind === "model" && spec.failureDomain === settings.failureDomain);
        const seen = await Promise.all(specs.map(engines.observe));
        const observed: readonly ObservedEngine[] = seen.filter(engine => engine !== undefined);
        const orders = planOrders({
            cfg,
            engines: observed,
            busy,
            maxLoads: concurrentLoads,
            mayUnload: weights => guard.mayUnload(weights, clock.now()),
        });
        await Promise.all(orders.map(order => {
            const spec = cfg.endpoints.get(order.endpoint);
            return spec === undefined ? undefined : send(spec, order);
        }));
    };

    const loop = (): void => {
        void round()
            .catch((err: unknown) => logger.error({ err }, "Round failed."))
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
