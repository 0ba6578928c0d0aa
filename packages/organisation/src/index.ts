/** Keys of organisations and of administrators, and who a key belongs to. */
export {};
