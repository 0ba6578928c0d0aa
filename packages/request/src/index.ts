/** One caller's request: stream positions, retries, and requests that crash endpoints. */
export {};
