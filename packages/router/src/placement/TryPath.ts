/** How a request came to an endpoint. */
export type TryPath = "first" | "further" | "resumed";
