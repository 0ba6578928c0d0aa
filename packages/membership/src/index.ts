/** Which VMs exist, and which of them is home for what. */
export {};
