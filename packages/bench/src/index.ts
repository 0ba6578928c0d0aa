/** Programs only: the demonstration, measurements under load and faults, and the slopes behind the capacity page. */
export {};
