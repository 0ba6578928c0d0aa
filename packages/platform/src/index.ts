/** Client of the platform: its log, its list of VMs, its weight store. */
export {};
