/** Tokens that an organisation may still spend, and grants of them between VMs. */
export {};
