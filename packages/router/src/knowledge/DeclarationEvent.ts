import type { Millis, ModelName } from "@azureshunt/core";

import type { RoutingConfiguration } from "../configuration/RoutingConfiguration.js";
import type { ConfirmationSource } from "./ConfirmationSource.js";

/** What a VM learns of the operators' declarations. */
export type DeclarationEvent =
    /** A configuration, from the store or from another VM. */
    | { readonly kind: "configuration"; readonly configuration: RoutingConfiguration; }
    /** At `asOf`, `revision` was the newest one. */
    | {
        readonly kind: "confirmed";
        readonly revision: number;
        readonly asOf: Millis;
        /** When this VM sent what was answered: its read, or the timestamp that a peer echoed. */
        readonly stampedAt: Millis;
        readonly by: ConfirmationSource;
    }
    | {
        readonly kind: "weights";
        readonly model: ModelName;
        readonly version: number;
        /** Since when a peer has known them; unknown if they were read from the store. */
        readonly knownSince?: Millis | undefined;
    }
    /** The process may have been suspended, or its clock stepped: no data is known to be fresh. */
    | { readonly kind: "suspended"; };
