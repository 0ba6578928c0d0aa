/** The command-line tool `azureshunt`. */
export {};
