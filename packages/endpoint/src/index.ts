/** Health of endpoints, their cached prefixes, and the choice of an endpoint for a request. */
export {};
