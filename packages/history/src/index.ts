/** A checker of histories of concurrent runs. It shares no code with what it checks. */
export {};
