/** A settings file that cannot be used. */
export type SettingsFault = {
    /** The file's text; `undefined` if there is no file. */
    readonly text: string | undefined;
    /** One line that names the file, and what is missing or wrong. */
    readonly line: string;
};
