/** For which VMs this VM reads the store: for all, for its failure domain if their reader falls silent, or for none. */
export type ReaderScope = "fleet" | "domain" | "none";
