/** Number that a prefix index gives to one run of one endpoint. 16 bits; 0 is never given. */
export type SlotNumber = number;
