import type { TunnelId } from "./TunnelId.js";

/** Who uses a tunnel that this VM forwards, as its request said. VMs of earlier builds do not say. */
export type TunnelUser = {
    readonly id: TunnelId;
    /** `host:port` of the VM's listener for peers. */
    readonly address: string;
};
