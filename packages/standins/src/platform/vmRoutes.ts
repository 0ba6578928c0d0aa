import { z } from "zod";

import { addSample } from "../common/addSample.js";
import type { Clock } from "../common/Clock.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import type { Sample } from "../common/Sample.js";
import { sampleAt } from "../common/sampleAt.js";
import { sendJson } from "../common/sendJson.js";
import type { Switches } from "../common/Switches.js";
import type { PlatformSwitches } from "./PlatformSwitches.js";

const VmBody = z.strictObject({
    failureDomain: z.string(),
    state: z.enum(["live", "leaving"]).default("live"),
    peer: z.string(),
    admin: z.string(),
});
type Vm = z.infer<typeof VmBody> & { readonly vm: string; };

const VM_PATH = /^\/vms\/([^/]+)$/;

/** Routes of the VM list: `read` for daemons, `edit` for the test harness, which acts as the machine provider. */
type VmRoutes = { readonly read: Route; readonly edit: readonly Route[]; };

/** Creates the routes of the VM list. Reads return the list as it was `vmLagMs` ago. */
export function vmRoutes(clock: Clock, switches: Switches<PlatformSwitches>): VmRoutes {
    let vms: readonly Vm[] = [];
    let samples: readonly Sample<readonly Vm[]>[] = [{ at: 0, value: [] }];

    const setVms = (next: readonly Vm[]): void => {
        vms = next;
        const now = clock.now();
        samples = addSample(samples, { at: now, value: next }, now - switches.current().vmLagMs);
    };
    return {
        read: {
            method: "GET",
            pattern: /^\/vms$/,
            handle: ({ res }) =>
                sendJson(res, 200, { vms: sampleAt(samples, clock.now() - switches.current().vmLagMs) ?? [] }),
        },
        edit: [
            {
                method: "PUT",
                pattern: VM_PATH,
                handle: async ({ req, res, params }) => {
                    const vm = params[0] ?? "";
                    const body = await readJson(req, VmBody);
                    setVms([...vms.filter(other => other.vm !== vm), { vm, ...body }]);
                    sendJson(res, 200, { vms });
                },
            },
            {
                method: "DELETE",
                pattern: VM_PATH,
                handle: ({ res, params }) => {
                    setVms(vms.filter(other => other.vm !== params[0]));
                    sendJson(res, 200, { vms });
                },
            },
        ],
    };
}
