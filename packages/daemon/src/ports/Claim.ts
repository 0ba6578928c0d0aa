/**
 * Binds an address of this daemon once it is free, as a predecessor may still hold it.
 *
 * @param address `host:port`
 * @param bind binds it once; rejects with `EADDRINUSE` while another process holds it
 */
export type Claim = <T>(address: string, bind: () => Promise<T>) => Promise<T>;
