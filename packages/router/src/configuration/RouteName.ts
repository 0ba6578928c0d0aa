/** Name of a route in the configuration. */
export type RouteName = string & { readonly brand: "RouteName"; };
