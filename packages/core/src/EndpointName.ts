import { z } from "zod";

/** Name of an endpoint: a model replica, a service replica or a KV cache store. */
const EndpointName = z.string().min(1).max(128).regex(
    /^[A-Za-z0-9][A-Za-z0-9._:/-]*$/,
    "use letters, digits and . _ : / -",
).brand<"EndpointName">();
type EndpointName = z.infer<typeof EndpointName>;

export { EndpointName };
