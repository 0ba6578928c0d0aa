import { z } from "zod";

import { EndpointSpec } from "./EndpointSpec.js";
import { KeySpec } from "./KeySpec.js";
import { ModelSpec } from "./ModelSpec.js";
import { OrganisationSpec } from "./OrganisationSpec.js";
import { ServiceSpec } from "./ServiceSpec.js";

/** Items that a release note adds, or changes: a changed item is given whole and replaces the former one. */
const NoteItems = z.strictObject({
    organisations: z.array(OrganisationSpec).default([]),
    keys: z.array(KeySpec).default([]),
    models: z.array(ModelSpec).default([]),
    services: z.array(ServiceSpec).default([]),
    endpoints: z.array(EndpointSpec).default([]),
});
type NoteItems = z.infer<typeof NoteItems>;

export { NoteItems };
