/** Statuses by which a peer answers a request for a tunnel; `unavailable` says nothing of the endpoint. */
const tunnelStatus = { opened: 200, notAllowed: 403, refused: 502, unavailable: 503, silent: 504 } as const;

export { tunnelStatus };
