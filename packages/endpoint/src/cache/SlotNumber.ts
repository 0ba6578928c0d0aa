/** 16-bit number that a prefix index assigns to one incarnation of an endpoint; 0 is never assigned. */
export type SlotNumber = number;
