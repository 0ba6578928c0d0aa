/** Whether a refused request has run at an endpoint, as far as the daemon can guarantee it. */
export type Ran = "no" | "maybe" | "yes";
