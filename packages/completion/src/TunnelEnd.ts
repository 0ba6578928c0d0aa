/**
 * How a tunnel ended, as the VM saw it that forwards its bytes, its carrier: the endpoint, or the VM that uses it, closed
 * its connection and all bytes before were passed on; a connection was lost; or the carrier gave it up, as it carried
 * nothing for long or as the carrier stopped.
 */
export type TunnelEnd = "endpoint-closed" | "vm-closed" | "reset" | "idle" | "stopped";
