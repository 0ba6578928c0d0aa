/** What a signal asks of a process: to let requests finish and end, to read its settings again, or nothing. */
export type SignalMeaning = "stop" | "reload" | "none";
