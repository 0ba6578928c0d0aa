import type { VmId } from "@azureshunt/core";

/**
 * Returns the VM that a record of the order lease names as holder: its first line. VMs of earlier versions take the
 * whole record for the name, and send it to their peers.
 */
export function holderOf(record: string): VmId {
    return record.split("\n", 1)[0] as VmId;
}
