import { z } from "zod";

import { EndpointSpec } from "./EndpointSpec.js";
import { KeySpec } from "./KeySpec.js";
import { ModelSpec } from "./ModelSpec.js";
import { OrganisationSpec } from "./OrganisationSpec.js";
import { ServiceSpec } from "./ServiceSpec.js";

/** Items that a release note adds or changes. A changed item is given in full and replaces the previous one. */
const NoteItems = z.strictObject({
    organisations: z.array(OrganisationSpec).default([]),
    keys: z.array(KeySpec).default([]),
    models: z.array(ModelSpec).default([]),
    services: z.array(ServiceSpec).default([]),
    endpoints: z.array(EndpointSpec).default([]),
});
type NoteItems = z.infer<typeof NoteItems>;

export { NoteItems };
