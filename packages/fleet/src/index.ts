/** Orders that bring endpoints to what the configuration declares. */
export {};
