/** Whether a request that may not be repeated may be dispatched. */
export {};
