import { FailureDomain, VmId } from "@azureshunt/core";
import { timeoutSignal } from "@azureshunt/lifecycle";
import { EitherAsync } from "purify-ts";
import { request } from "undici";
import { z } from "zod";

const CALL_TIMEOUT_MS = 2_000;
const STATUS_OK = 200;

const VmList = z.object({
    vms: z.array(z.object({
        vm: VmId,
        failureDomain: FailureDomain,
        state: z.enum(["live", "leaving"]),
        peer: z.string(),
        admin: z.string(),
    })),
});

/** Entry of the platform's list of VMs. */
type ListedVm = z.infer<typeof VmList>["vms"][number];

/**
 * Reads the platform's list of live and leaving VMs. The list lags behind the actual state.
 *
 * @param url base URL of the platform
 * @returns Left if the platform cannot be reached or its answer is malformed
 */
export function listVms(url: string): EitherAsync<Error, readonly ListedVm[]> {
    return EitherAsync(async () => {
        const res = await request(`${url}/vms`, { signal: timeoutSignal(CALL_TIMEOUT_MS) });
        const body = await res.body.json();
        if (res.statusCode !== STATUS_OK) {
            throw new Error(`status ${res.statusCode}`);
        }
        return VmList.parse(body).vms;
    }).mapLeft(err => err instanceof Error ? err : new Error(String(err)));
}
