/**
 * Endpoints to which own links may fail together: all of them, those of a service, or those of a service in a failure
 * domain.
 */
export type EndpointGroup = string & { readonly __brand: "EndpointGroup"; };
