/** Name of a route, as the configuration gives it. */
export type RouteName = string & { readonly brand: "RouteName"; };
