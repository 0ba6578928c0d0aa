import { z } from "zod";

const TARGET = /^([^:\s]+):(\d{1,5})$/;

/** Address that a route forwards to, parsed from `host:port`. */
const Target = z.string().regex(TARGET, "use host:port").transform(text => {
    const [, host = "", port = ""] = TARGET.exec(text) ?? [];
    return { host, port: Number(port) };
});
type Target = z.infer<typeof Target>;

export { Target };
